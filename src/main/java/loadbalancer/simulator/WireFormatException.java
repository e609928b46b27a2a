package loadbalancer.simulator;

/** The input does not follow the simulator's protocol; the message names the line and the field. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final long line;
    private final String field;

    /** A field that is wrong for this reason; {@code cause} may be null. */
    WireFormatException(long line, String field, String reason, Throwable cause) {
        super("line " + line + ": field " + field + ": " + reason, cause);
        this.line = line;
        this.field = field;
    }

    /** Returns the number of the line, from 1. */
    public long line() {
        return line;
    }

    /** Returns the name of the field, as in the protocol's document. */
    public String field() {
        return field;
    }
}
