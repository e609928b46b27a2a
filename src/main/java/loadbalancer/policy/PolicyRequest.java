package loadbalancer.policy;

/** A request as the policy knows it. The same object stands for it in every event and action. */
public final class PolicyRequest {
    private final long id;
    private final int classIndex;
    private final int tenantIndex;
    private final double timeoutMillis;
    private final boolean clientRetry;
    /** What the policy keeps about it; null until the policy has seen it. */
    private Object state;

    /**
     * A request that has just arrived.
     *
     * @param id the embedder's identifier
     * @param classIndex position of its class in the settings
     * @param tenantIndex position of its tenant in the settings, or -1
     * @param timeoutMillis time after its arrival at which the client gives up
     * @param clientRetry true if the client announces that it retries
     */
    public PolicyRequest(long id, int classIndex, int tenantIndex, double timeoutMillis, boolean clientRetry) {
        this.id = id;
        this.classIndex = classIndex;
        this.tenantIndex = tenantIndex;
        this.timeoutMillis = timeoutMillis;
        this.clientRetry = clientRetry;
    }

    /** The embedder's identifier. */
    public long id() {
        return id;
    }

    /** Position of its class in the settings. */
    public int classIndex() {
        return classIndex;
    }

    /** Position of its tenant in the settings, or -1. */
    public int tenantIndex() {
        return tenantIndex;
    }

    /** How long after its arrival the client gives up, in milliseconds. */
    public double timeoutMillis() {
        return timeoutMillis;
    }

    /** True if the client announces that it retries. */
    public boolean clientRetry() {
        return clientRetry;
    }

    Object state() {
        return state;
    }

    void state(Object kept) {
        state = kept;
    }
}
