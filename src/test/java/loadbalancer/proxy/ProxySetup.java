package loadbalancer.proxy;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;

/** A sidecar between one client and some endpoints, named s0, s1 and so on; discovery can't be reached. */
final class ProxySetup implements AutoCloseable {
    /** An endpoint that answers each request at once. */
    static final FakeServer.Script OK = (request, wire) -> wire.ok("done");
    /** An endpoint that never answers. */
    static final FakeServer.Script SILENT = (request, wire) -> {};

    /** An endpoint that resets each connection which is used a second time. */
    static FakeServer.Script resettingSecondUse() {
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        return (request, wire) -> {
            if (used.add(wire.socket())) {
                wire.ok("done");
            } else {
                wire.reset();
            }
        };
    }

    private final List<FakeServer> endpoints = new ArrayList<>();
    private final TestSidecar sidecar;
    private TestClient client;

    /** A sidecar with this kind of sockets to endpoints, whose configuration is edited before it is read. */
    ProxySetup(UnaryOperator<String> edit, Class<? extends Channel> sockets, FakeServer.Script... scripts)
            throws Exception {
        String[] addresses = new String[scripts.length];
        for (int i = 0; i < scripts.length; i++) {
            FakeServer endpoint = new FakeServer(scripts[i]);
            endpoints.add(endpoint);
            addresses[i] = endpoint.address();
        }
        String configuration = TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, addresses);
        sidecar = new TestSidecar(edit.apply(configuration), sockets);
    }

    /** A sidecar that may cancel attempts, with an endpoint for each script. */
    static ProxySetup withEndpoints(FakeServer.Script... scripts) throws Exception {
        return new ProxySetup(UnaryOperator.identity(), NioSocketChannel.class, scripts);
    }

    /** A sidecar with this kind of sockets to endpoints, which may cancel attempts or not. */
    static ProxySetup withCancellation(boolean allowed, Class<? extends Channel> sockets, FakeServer.Script... scripts)
            throws Exception {
        return new ProxySetup(
                configuration -> configuration.replace("\"cancel\":true", "\"cancel\":" + allowed), sockets, scripts);
    }

    TestSidecar sidecar() {
        return sidecar;
    }

    /** The one client, which connects when it is first used. */
    TestClient client() throws IOException {
        if (client == null) {
            client = sidecar.client();
        }
        return client;
    }

    FakeServer endpoint(int index) {
        return endpoints.get(index);
    }

    /** All requests that endpoints have received, by endpoint. */
    List<FakeServer.Request> requests() {
        return endpoints.stream().flatMap(e -> e.requests.stream()).toList();
    }

    /** How many connections to all endpoints have been established. */
    int connections() {
        return endpoints.stream().mapToInt(FakeServer::connections).sum();
    }

    /** Asks until the policy admits a request: after a failed attempt it rejects some. */
    String askUntilServed() throws Exception {
        for (int i = 0; i < 1000; i++) {
            TestClient.Response answer = client().exchange(TestClient.submit("5"));
            if (answer.status() == 200) {
                return answer.body();
            }
            if (answer.status() != 503) {
                throw new AssertionError("answered " + answer.status());
            }
            Thread.sleep(10);
        }
        throw new AssertionError("never served");
    }

    @Override
    public void close() throws IOException {
        if (client != null) {
            client.close();
        }
        sidecar.close();
        for (FakeServer endpoint : endpoints) {
            endpoint.close();
        }
    }
}
