package loadbalancer.lifecycle;

/** The sidecar could not start, for instance because its address is in use. */
public final class StartupException extends Exception {
    private static final long serialVersionUID = 1;

    /** Makes an exception with the message of its cause, or the name of a cause without one. */
    StartupException(Throwable cause) {
        super(cause.getMessage() == null ? cause.getClass().getName() : cause.getMessage(), cause);
    }
}
