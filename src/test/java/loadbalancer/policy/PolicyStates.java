package loadbalancer.policy;

import java.util.List;
import java.util.stream.IntStream;

/** States of endpoints, requests and attempts for the tests of single classes of the policy. */
final class PolicyStates {
    private static final double TIMEOUT_MILLIS = 2000;

    private PolicyStates() {}

    /** An endpoint of one request class that is first seen at 0. */
    static EndpointState endpoint(Endpoint entry) {
        return endpoint(entry, 0, 0);
    }

    static EndpointState endpoint(Endpoint entry, long rank, double nowMillis) {
        return new EndpointState(entry, rank, 1, nowMillis);
    }

    static EndpointState readyEndpoint(String id) {
        return endpoint(Endpoints.ready(id));
    }

    /** Ready endpoints s0, s1 and so on, ranked in this order. */
    static List<EndpointState> rankedEndpoints(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> endpoint(Endpoints.ready("s" + i), i, 0))
                .toList();
    }

    /** A request of class 0 that arrives now, with a timeout of two seconds. */
    static RequestState request(RequestClass requestClass, double nowMillis) {
        return request(requestClass, nowMillis, TIMEOUT_MILLIS);
    }

    static RequestState request(RequestClass requestClass, double nowMillis, double timeoutMillis) {
        return new RequestState(new PolicyRequest(1, 0, -1, timeoutMillis, false), requestClass, 0, nowMillis);
    }

    /** An attempt of a new request, which is in flight at the endpoint. */
    static AttemptState startAttempt(EndpointState endpoint, double nowMillis) {
        AttemptState attempt = request(RequestClasses.HIGH_PRIORITY, nowMillis).addAttempt(endpoint, nowMillis);
        endpoint.attemptStarted(attempt);
        return attempt;
    }

    static void startAttempts(EndpointState endpoint, int count) {
        for (int i = 0; i < count; i++) {
            startAttempt(endpoint, 0);
        }
    }

    /** Fails the endpoint until it is ejected. */
    static void eject(EndpointState endpoint) {
        while (!endpoint.outlier().ejected()) {
            endpoint.outlier().recordFailure(0);
        }
    }

    /** Gives the endpoint this rate of forwarded requests, by one long period. */
    static void forwardAtRate(EndpointState endpoint, int requestsPerMilli) {
        // One period counts for a tenth.
        for (int i = 0; i < 10 * requestsPerMilli; i++) {
            endpoint.traffic().recordForward();
        }
        endpoint.traffic().endPeriod(1);
    }
}
