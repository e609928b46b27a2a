package loadbalancer.discovery;

/** An endpoint list is malformed; the message says in one line what is wrong. */
public final class EndpointListException extends Exception {
    private static final long serialVersionUID = 1;

    /** A list that is malformed for this reason. */
    public EndpointListException(String reason) {
        this(reason, null);
    }

    /** A list that is malformed for this reason, of which only the first line is kept, found by this cause. */
    public EndpointListException(String reason, Throwable cause) {
        super(reason.lines().findFirst().orElse(""), cause);
    }
}
