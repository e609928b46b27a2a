package loadbalancer.configuration;

/** A configuration is not valid; the message says in one line which field is wrong, and how. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1;

    private final String field;
    private final String reason;

    /** A field, or the file itself, that is wrong for this reason. */
    public ConfigurationException(String field, String reason) {
        this(field, reason, null);
    }

    /** A field, or the file itself, that is wrong for this reason, found by this cause. */
    public ConfigurationException(String field, String reason, Throwable cause) {
        super(field + " " + reason, cause);
        this.field = field;
        this.reason = reason;
    }

    /** Returns the path of the field, such as {@code limits.sockets}, or of the file. */
    public String field() {
        return field;
    }

    /** Returns what is wrong with the field. */
    public String reason() {
        return reason;
    }
}
