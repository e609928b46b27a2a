package loadbalancer.upstream;

import java.io.IOException;
import loadbalancer.testing.DeferredResponses;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;

/** A sidecar whose one endpoint has received a client's request, which is not idempotent, and leaves it unanswered. */
final class DeferredExchange implements AutoCloseable {
    final FakeServer endpoint;
    final TestSidecar sidecar;
    final TestClient client;
    /** The endpoint's connection, on which the test answers. */
    final FakeServer.Connection connection;

    private DeferredExchange(DeferredResponses script) throws Exception {
        endpoint = new FakeServer(script);
        sidecar = CloseDelimitedResponses.sidecar(endpoint.address());
        client = sidecar.client();
        client.send(TestClient.submit("50"));
        connection = script.awaitRequest();
    }

    /** Sends the request and waits until the endpoint has received it. */
    static DeferredExchange begin() throws Exception {
        return new DeferredExchange(new DeferredResponses());
    }

    @Override
    public void close() throws IOException {
        client.close();
        sidecar.close();
        endpoint.close();
    }
}
