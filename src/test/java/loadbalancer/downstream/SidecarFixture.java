package loadbalancer.downstream;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;

/** A sidecar with one endpoint and no discovery, and the clients that a test opens; all are closed together. */
final class SidecarFixture implements AutoCloseable {
    /** Answers each request with the body {@code done}. */
    static final FakeServer.Script ANSWER = (request, wire) -> wire.ok("done");

    final FakeServer endpoint;
    final TestSidecar sidecar;
    private final List<TestClient> clients = new CopyOnWriteArrayList<>();

    private SidecarFixture(FakeServer endpoint, TestSidecar sidecar) {
        this.endpoint = endpoint;
        this.sidecar = sidecar;
    }

    /** A sidecar whose endpoint answers each request. */
    static SidecarFixture start() throws Exception {
        return start(ANSWER);
    }

    /** A sidecar whose endpoint follows this script. */
    static SidecarFixture start(FakeServer.Script script) throws Exception {
        FakeServer endpoint = new FakeServer(script);
        return new SidecarFixture(endpoint, new TestSidecar(FakeServer.refusing(), endpoint.address()));
    }

    /** A sidecar that may use so many sockets, whose endpoint answers each request. */
    static SidecarFixture startWithSockets(int sockets) throws Exception {
        FakeServer endpoint = new FakeServer(ANSWER);
        return new SidecarFixture(endpoint, new TestSidecar(sockets, FakeServer.refusing(), "ask", endpoint.address()));
    }

    /** A sidecar whose classes have this deadline, and whose endpoint answers each request. */
    static SidecarFixture startWithDeadline(long deadlineMillis) throws Exception {
        FakeServer endpoint = new FakeServer(ANSWER);
        String configuration = TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, endpoint.address())
                .replace("\"slo\":1200", "\"slo\":900")
                .replace("\"slo\":30000", "\"slo\":900")
                .replace("\"deadline\":60000", "\"deadline\":" + deadlineMillis);
        return new SidecarFixture(endpoint, new TestSidecar(configuration, NioSocketChannel.class));
    }

    /** A new connection of the application. */
    TestClient client() throws IOException {
        TestClient client = sidecar.client();
        clients.add(client);
        return client;
    }

    /** Runs this on the event loop, which does nothing else meanwhile. */
    <T> T onLoop(Callable<T> task) throws Exception {
        return sidecar.call(task);
    }

    /** Waits until the sidecar has no connection from the application. */
    void awaitNoConnections() throws Exception {
        sidecar.await(() -> sidecar.server.connections() == 0);
    }

    @Override
    public void close() throws IOException {
        for (TestClient client : clients) {
            client.close();
        }
        sidecar.close();
        endpoint.close();
    }
}
