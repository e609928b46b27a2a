package loadbalancer.lifecycle;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;

/** A sidecar that runs with the class archive, its discoveries and its endpoints. */
final class ArchivedSidecar implements AutoCloseable {
    /** How often what a single request may not achieve is tried. */
    static final int MAX_TRIES = 400;

    private static final long FIRST_SEQUENCE = 101;
    private static final String READINESS_CHECK = "GET /health/ready HTTP/1.1\r\n\r\n";

    private final DeployedProgram program;
    private final String discoveryMode;
    private final String listen = FakeServer.refusing();
    private final List<FakeServer> endpoints = new ArrayList<>();
    private final FakeDiscovery firstDiscovery = new FakeDiscovery();
    private final FakeDiscovery secondDiscovery = new FakeDiscovery();
    private final ProgramProcess process;
    private FakeDiscovery discovery = firstDiscovery;
    private long sequence = FIRST_SEQUENCE;

    /**
     * Starts a sidecar and waits until it is ready.
     *
     * @param discoveryMode {@code push} or {@code ask}, as in the configuration
     * @param loadedClasses the log of the classes that it loads
     */
    ArchivedSidecar(DeployedProgram program, String discoveryMode, Path loadedClasses) throws Exception {
        this.program = program;
        this.discoveryMode = discoveryMode;
        configure(firstDiscovery.address());
        process = program.serve(loadedClasses, program.directory().resolve("serve-errors"));
        try {
            discovery.awaitWatch();
            discovery.send(TestSidecar.list(sequence, true) + "\n");
            process.await("readiness", this::isReady);
        } catch (Exception | AssertionError e) {
            close();
            throw e;
        }
    }

    private boolean isReady() throws IOException {
        try (TestClient client = connect()) {
            return client.exchange(READINESS_CHECK).status() == 200;
        } catch (ConnectException e) {
            return false;
        }
    }

    private void configure(String discoveryAddress) throws IOException {
        String configuration = TestSidecar.config(listen, discoveryAddress, 1024);
        Files.writeString(
                program.configuration(),
                configuration.replace("\"discovery\":\"ask\"", "\"discovery\":\"" + discoveryMode + "\""));
    }

    /** Returns whether the sidecar polls for endpoint lists; otherwise they are pushed. */
    boolean pollsLists() {
        return discoveryMode.equals("ask");
    }

    /** Returns the discovery in use. */
    FakeDiscovery discovery() {
        return discovery;
    }

    /** Returns the process. */
    ProgramProcess process() {
        return process;
    }

    /** Opens a connection. */
    TestClient connect() throws IOException {
        return new TestClient(ProgramProcess.port(listen));
    }

    /** Returns a list with a new sequence number. */
    String nextList(boolean snapshot, String... entries) {
        sequence++;
        return TestSidecar.list(sequence, snapshot, entries);
    }

    /** Starts an endpoint that is not listed yet. */
    FakeServer newEndpoint(FakeServer.Script script) throws IOException {
        FakeServer endpoint = new FakeServer(script);
        endpoints.add(endpoint);
        return endpoint;
    }

    /** Sends a list with this endpoint alone. */
    void listOnly(String name, String address) throws IOException {
        discovery.send(nextList(true, TestSidecar.host(name, address, "ready")) + "\n");
    }

    /** Sends requests of these kinds, each until one has reached a new endpoint, which is the only one listed. */
    FakeServer meet(List<RequestKind> kinds, FakeServer.Script script) throws IOException {
        FakeServer endpoint = newEndpoint(script);
        listOnly("e" + endpoints.size(), endpoint.address());
        for (RequestKind kind : kinds) {
            sendUntilReceived(kind, endpoint);
        }
        return endpoint;
    }

    /** Sends requests of this kind until the endpoint has received one more. */
    void sendUntilReceived(RequestKind kind, FakeServer endpoint) throws IOException {
        int received = endpoint.requests.size();
        for (int i = 0; i < MAX_TRIES && endpoint.requests.size() == received; i++) {
            exchange(kind);
        }
    }

    /** Sends a request of this kind on a new connection and returns its response; keeps the watch alive. */
    TestClient.Response exchange(RequestKind kind) throws IOException {
        discovery.send("\n");
        try (TestClient client = connect()) {
            return client.exchange(kind.newRequest());
        }
    }

    /** Moves the sidecar to the second discovery. */
    void moveDiscovery() throws Exception {
        reload(secondDiscovery.address());
        discovery = secondDiscovery;
        discovery.awaitWatch();
    }

    /** Changes discovery's address and waits until the sidecar has handled SIGHUP. */
    void reload(String discoveryAddress) throws Exception {
        configure(discoveryAddress);
        hangUp();
    }

    /** Makes the configuration file malformed and waits until the sidecar has handled SIGHUP. */
    void reloadMalformed() throws Exception {
        Files.writeString(program.configuration(), "{");
        hangUp();
    }

    private void hangUp() throws Exception {
        long before = reloads();
        process.signal("HUP");
        process.await("reload", () -> reloads() > before);
    }

    private long reloads() throws IOException {
        return process.errorLines().stream()
                .filter(line -> line.startsWith("configuration"))
                .count();
    }

    @Override
    public void close() throws IOException {
        process.close();
        for (FakeServer endpoint : endpoints) {
            endpoint.close();
        }
        firstDiscovery.close();
        secondDiscovery.close();
    }

    /** The kinds of requests. */
    enum RequestKind {
        IDEMPOTENT,
        NOT_IDEMPOTENT,
        WITH_KEY,
        CLOSING_CONNECTION;

        private static final String TIMEOUT_SECONDS = "0.300";

        private String newRequest() {
            return switch (this) {
                case IDEMPOTENT -> TestClient.status(TIMEOUT_SECONDS);
                case NOT_IDEMPOTENT -> TestClient.submit(TIMEOUT_SECONDS);
                case WITH_KEY -> TestClient.pay(TIMEOUT_SECONDS);
                case CLOSING_CONNECTION -> TestClient.status(TIMEOUT_SECONDS)
                        .replace("Request-Id", "Connection: close\r\nRequest-Id");
            };
        }
    }
}
