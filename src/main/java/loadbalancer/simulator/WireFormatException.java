package loadbalancer.simulator;

/** The input does not follow the wire; the message names the line and the field. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(String message) {
        super(message);
    }
}
