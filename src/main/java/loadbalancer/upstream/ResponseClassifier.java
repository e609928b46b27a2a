package loadbalancer.upstream;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.protocol.HeaderNames;

/** Determines the outcome of an attempt from the head of its complete response. */
final class ResponseClassifier {
    private ResponseClassifier() {}

    /** The outcome that a complete response with this head stands for. */
    static AttemptOutcome classify(HttpResponse head) {
        HttpResponseStatus status = head.status();
        if (status.equals(HttpResponseStatus.OK)) {
            return AttemptOutcome.SUCCESS;
        }
        boolean rejected = (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                        || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
                && "1".equals(head.headers().get(HeaderNames.NOT_STARTED));
        return rejected ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR;
    }
}
