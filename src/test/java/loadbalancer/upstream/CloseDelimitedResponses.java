package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;

/** Set-up and assertions shared by the tests of responses that end with their connection. */
final class CloseDelimitedResponses {
    /** A head that states no length, so that the body ends with the connection. */
    static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    /** Answers with a length, and a body that no other script here sends. */
    static final FakeServer.Script OK = (request, wire) -> wire.ok("elsewhere");

    private CloseDelimitedResponses() {}

    /** Sends this and closes in order. */
    static FakeServer.Script thenClose(String text) {
        return (request, wire) -> {
            wire.text(text);
            wire.socket().close();
        };
    }

    /** Sends this and resets the connection. */
    static FakeServer.Script thenReset(String text) {
        return (request, wire) -> {
            wire.text(text);
            wire.reset();
        };
    }

    /** A sidecar with these endpoints. */
    static TestSidecar sidecar(String... endpoints) throws Exception {
        return new TestSidecar(FakeServer.refusing(), endpoints);
    }

    /**
     * The answer to a request that is not idempotent, with one endpoint that has this script. It is sent once, and its
     * connection is closed.
     */
    static TestClient.Response sendOnce(FakeServer.Script script) throws Exception {
        try (FakeServer endpoint = new FakeServer(script);
                TestSidecar sidecar = sidecar(endpoint.address());
                TestClient client = sidecar.client()) {
            TestClient.Response answer = client.exchange(TestClient.submit("50"));
            endpoint.awaitClose();
            assertEquals(1, endpoint.requests.size());
            sidecar.await(() -> sidecar.dispatcher.pendingCount() == 0);
            return answer;
        }
    }

    static void assertServed(String body, TestClient.Response answer) {
        assertEquals(200, answer.status());
        assertEquals(Integer.toString(body.length()), answer.headers().get("content-length"));
        assertEquals(body, answer.body());
    }

    static void assertFailed(TestClient.Response answer) {
        assertEquals(502, answer.status());
        assertEquals("", answer.body());
    }
}
