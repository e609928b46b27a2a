package loadbalancer.downstream;

/** The states of a client connection. {@link #allows} is the table of their transitions. */
enum ConnectionState {
    /** Nothing has been received yet. */
    NEW,
    /** A response has been written and nothing has been received since. */
    IDLE,
    /** Part of a request has been received. */
    READING_REQUEST,
    /** A complete request has been received; whether more bytes follow it is known only at the end of the turn. */
    REQUEST_COMPLETE,
    /** The request is with the dispatcher. */
    AWAITING_RESPONSE,
    /** A response is being written, after which the connection may be used again. */
    WRITING_RESPONSE,
    /** The last response is being written, or the connection is closed; nothing more is read. */
    CLOSING,
    /** The answer to an invalid request has been written; its client has some time to read it. */
    LINGERING;

    /** True if a connection in this state may enter the next one. A connection may be closed in any state. */
    boolean allows(ConnectionState next) {
        if (next == CLOSING) {
            return true;
        }
        return switch (this) {
            case NEW, IDLE -> next == READING_REQUEST;
            case READING_REQUEST -> next == REQUEST_COMPLETE;
            case REQUEST_COMPLETE -> next == AWAITING_RESPONSE || next == WRITING_RESPONSE;
            case AWAITING_RESPONSE -> next == WRITING_RESPONSE;
            case WRITING_RESPONSE -> next == IDLE;
            case CLOSING -> next == LINGERING;
            case LINGERING -> false;
        };
    }

    /** True if a graceful shutdown must wait for a connection in this state. */
    boolean isBusy() {
        return this != NEW && this != IDLE;
    }
}
