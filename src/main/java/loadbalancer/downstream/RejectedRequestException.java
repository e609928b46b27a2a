package loadbalancer.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request that is not valid. It has no stack trace, since clients cause it. */
final class RejectedRequestException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient HttpResponseStatus status;

    /** A rejection that is answered with this status. */
    RejectedRequestException(HttpResponseStatus status) {
        super(status.toString(), null, false, false);
        this.status = status;
    }

    /** The status of the response to the request. */
    HttpResponseStatus status() {
        return status;
    }
}
