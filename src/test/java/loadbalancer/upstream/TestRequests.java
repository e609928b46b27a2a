package loadbalancer.upstream;

import loadbalancer.testing.TestClient;

/** Requests of the test configuration's classes. */
final class TestRequests {
    private TestRequests() {}

    /** A request of class {@code submit} (not idempotent), {@code pay} (with a key) or {@code status} (idempotent). */
    static String ofClass(String requestClass, String timeoutSeconds) {
        return switch (requestClass) {
            case "submit" -> TestClient.submit(timeoutSeconds);
            case "pay" -> TestClient.pay(timeoutSeconds);
            case "status" -> TestClient.status(timeoutSeconds);
            default -> throw new IllegalArgumentException(requestClass);
        };
    }

    /** A request that is not idempotent, with this body. */
    static String submitWithBody(String body) {
        return TestClient.submit("50")
                .replace("Content-Length: 3\r\n\r\nabc", "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }
}
