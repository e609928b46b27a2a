package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.protocol.HeaderNames;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The outcome that a response's status and headers stand for. */
class ResponseClassifierTest {
    @ParameterizedTest
    @CsvSource({
        "200, '', SUCCESS",
        "200, 1, SUCCESS",
        "201, '', ERROR",
        "500, 1, ERROR",
        "503, '', ERROR",
        "503, 0, ERROR",
        "503, 1, REJECTED",
        "504, '', ERROR",
        "504, 1, REJECTED"
    })
    void classifiesByStatusAndNotStartedHeader(int status, String notStarted, AttemptOutcome expected) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        if (!notStarted.isEmpty()) {
            head.headers().set(HeaderNames.NOT_STARTED, notStarted);
        }
        assertEquals(expected, ResponseClassifier.classify(head));
    }
}
