package loadbalancer.protocol;

/** Limits of the protocol that hold for requests and responses alike. */
public final class ProtocolLimits {
    /** The longest body of a request or response, in bytes. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    private ProtocolLimits() {}
}
