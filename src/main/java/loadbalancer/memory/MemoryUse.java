package loadbalancer.memory;

/** What memory is held for. */
public enum MemoryUse {
    /** Fields of heads and trailers that clients are sending. */
    REQUEST_HEADS("request heads", MemoryUse.LARGE_REQUEST_FRACTION),
    /** Bodies that clients are sending. */
    REQUEST_BODIES("request bodies", MemoryUse.LARGE_REQUEST_FRACTION),
    /** Requests that are being forwarded, with the bodies that a retry needs. */
    PENDING_REQUESTS("pending requests", 1),
    /** Responses that endpoints are sending. */
    ENDPOINT_RESPONSES("endpoint responses", MemoryUse.RESPONSE_FRACTION),
    /** Responses that are being written to clients. */
    CLIENT_RESPONSES("client responses", 1),
    /** Buffers of clients' lines that are not complete; outside of the heap, whose part is no larger than theirs. */
    LINE_BUFFERS("line buffers", MemoryUse.LARGE_REQUEST_FRACTION, MemoryUse.SMALL_LINE_BUFFER_BYTES),
    /** Identifiers of requests that must not run twice. */
    REQUEST_IDS("request ids", 1),
    /** Lists that discovery is sending. */
    ENDPOINT_LISTS("endpoint lists", 1);

    /** The rest is kept for the requests that were taken and for their responses. */
    private static final double LARGE_REQUEST_FRACTION = 0.6;

    private static final double RESPONSE_FRACTION = 0.9;
    /** A holding up to this size is that of a client with a small request, and may use the whole budget. */
    private static final int SMALL_HOLDING_BYTES = 8 * 1024;
    /** A usual line is far shorter; hundreds of clients that stop in a long one must leave room for small requests. */
    private static final int SMALL_LINE_BUFFER_BYTES = 2 * 1024;

    private final String label;
    private final double maxFraction;
    private final int smallHoldingBytes;

    MemoryUse(String label, double maxFraction) {
        this(label, maxFraction, MemoryUse.SMALL_HOLDING_BYTES);
    }

    MemoryUse(String label, double maxFraction, int smallHoldingBytes) {
        this.label = label;
        this.maxFraction = maxFraction;
        this.smallHoldingBytes = smallHoldingBytes;
    }

    /** Returns up to which size, in bytes, a holding of this use may use the whole budget. */
    int smallHoldingBytes() {
        return smallHoldingBytes;
    }

    /** Returns its name in log lines. */
    public String label() {
        return label;
    }

    /** Returns up to which fraction of the budget, by all uses together, a large holding of this use may grow. */
    double maxFraction() {
        return maxFraction;
    }
}
