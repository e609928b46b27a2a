package loadbalancer.protocol;

/** Names of the headers that the protocol adds to HTTP. */
public final class HeaderNames {
    /** Identifies a request among those in flight. */
    public static final String REQUEST_ID = "Request-Id";
    /** The name of the request's class. */
    public static final String REQUEST_CLASS = "Request-Class";
    /** How long the sender waits for the response, in seconds. */
    public static final String REQUEST_TIMEOUT = "Request-Timeout";
    /** The name of the tenant that the request belongs to. */
    public static final String TENANT = "Tenant";
    /** The key by which endpoints discard repeats. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** {@code 1} if the client asks again. */
    public static final String CLIENT_RETRY = "Client-Retry";
    /** {@code 1} if the endpoint rejected the request before it started any work. */
    public static final String NOT_STARTED = "Not-Started";
    /** The endpoint's load report. */
    public static final String SERVER_LOAD = "Server-Load";

    private HeaderNames() {}
}
