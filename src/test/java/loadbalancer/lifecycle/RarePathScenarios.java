package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import loadbalancer.lifecycle.ArchivedSidecar.RequestKind;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;

/** The first of each kind of response, client, list and signal that a sidecar with the class archive meets. */
final class RarePathScenarios {
    private static final List<RequestKind> ALL_KINDS = List.of(RequestKind.values());
    private static final int LARGE_HEAD = 20_000;
    private static final int LARGE_BODY = 0x15000;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

    private final ArchivedSidecar sidecar;

    RarePathScenarios(ArchivedSidecar sidecar) {
        this.sidecar = sidecar;
    }

    /** Plays all scenarios; the last one ends the sidecar. */
    void playAll() throws Exception {
        completeResponses();
        brokenConnections();
        invalidHeads();
        unusualBodies();
        refusingEndpoint();
        disconnectingClient();
        invalidRequests();
        incompleteRequests();
        FakeServer endpoint = sidecar.meet(List.of(RequestKind.IDEMPOTENT), (request, wire) -> wire.ok("done"));
        validLists(endpoint);
        endsOfWatch(endpoint);
        reloads(endpoint);
        gracefulShutdown();
    }

    private void respondWith(String response) throws IOException {
        sidecar.meet(ALL_KINDS, (request, wire) -> wire.text(response));
    }

    private void completeResponses() throws IOException {
        FakeServer good = sidecar.meet(
                ALL_KINDS,
                (request, wire) ->
                        wire.answer("200 OK", "Server-Load: util=0.5,qps=3\r\nContent-Type: text/plain\r\n", "done"));
        sidecar.sendUntilReceived(RequestKind.IDEMPOTENT, good);
        sidecar.sendUntilReceived(RequestKind.IDEMPOTENT, good);
        assertTrue(good.requests.size() >= 6);
        sidecar.meet(ALL_KINDS, (request, wire) -> wire.answer("500 Internal Server Error", "", "no"));
        sidecar.meet(ALL_KINDS, (request, wire) -> wire.answer("503 Service Unavailable", "Not-Started: 1\r\n", ""));
        sidecar.meet(
                ALL_KINDS,
                (request, wire) -> wire.answer("504 Gateway Timeout", "Not-Started: 1\r\nRetry-After: 1\r\n", ""));
    }

    private void brokenConnections() throws IOException {
        sidecar.meet(ALL_KINDS, (request, wire) -> wire.reset());
        sidecar.meet(ALL_KINDS, (request, wire) -> wire.socket().close());
        sidecar.meet(ALL_KINDS, (request, wire) -> {
            wire.text(OK + "Content-Length: 10\r\n\r\nabc");
            wire.reset();
        });
    }

    private void invalidHeads() throws IOException {
        respondWith("noise\r\nnoise\r\n\r\n");
        respondWith(OK + "no colon\r\n\r\n");
        respondWith(OK + "X: y\r\n".repeat(5000));
        respondWith(OK + "X: " + "y".repeat(LARGE_HEAD));
        respondWith(OK + "Content-Length: 900000\r\n\r\n");
    }

    private void unusualBodies() throws IOException {
        respondWith(CHUNKED + Integer.toHexString(LARGE_BODY) + "\r\n" + "z".repeat(LARGE_BODY) + "\r\n0\r\n\r\n");
        respondWith(OK + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        respondWith(CHUNKED + "4\r\ndone\r\n0\r\nTrailer: x\r\n\r\n");
        respondWith(CHUNKED + "zz\r\n");
        respondWith("HTTP/1.1 100 Continue\r\n\r\n" + OK + "Content-Length: 0\r\n\r\n");
        respondWith(OK + "Content-Length: 0\r\n\r\n" + OK + "\r\n");
        sidecar.meet(ALL_KINDS, (request, wire) -> {});
        sidecar.meet(
                List.of(RequestKind.IDEMPOTENT, RequestKind.NOT_IDEMPOTENT),
                (request, wire) -> wire.text(OK + "Content-Le"));
        sidecar.meet(ALL_KINDS, (request, wire) -> {
            wire.text(OK + "\r\ndone");
            wire.socket().close();
        });
        sidecar.meet(ALL_KINDS, (request, wire) -> {
            wire.text(OK + "\r\nhalf");
            wire.reset();
        });
    }

    private void refusingEndpoint() throws IOException {
        sidecar.listOnly("none", FakeServer.refusing());
        for (RequestKind kind : ALL_KINDS) {
            int status = 200;
            for (int i = 0; i < ArchivedSidecar.MAX_TRIES && status == 200; i++) {
                status = sidecar.exchange(kind).status();
            }
            sidecar.exchange(kind);
        }
    }

    private void disconnectingClient() throws Exception {
        FakeServer silent = sidecar.newEndpoint((request, wire) -> {});
        sidecar.listOnly("silent", silent.address());
        for (int i = 0; i < ArchivedSidecar.MAX_TRIES && silent.requests.isEmpty(); i++) {
            try (TestClient client = sidecar.connect()) {
                client.send(TestClient.submit("0.900"));
                if (silent.connections() > 0) {
                    silent.awaitRequest();
                } else {
                    client.read();
                }
            }
        }
    }

    private void invalidRequests() throws IOException {
        for (String head : invalidHeads(TestClient.status("1"))) {
            assertAnswered(head);
        }
        for (String body : invalidBodies(TestClient.submit("1"))) {
            assertAnswered(body);
        }
    }

    private void assertAnswered(String request) throws IOException {
        try (TestClient client = sidecar.connect()) {
            client.send(request);
            assertNotNull(client.read(), request);
        }
    }

    private static List<String> invalidHeads(String get) {
        return List.of(
                "noise\r\n\r\n",
                get.replace("Request-Id", "Other"),
                get.replace("Request-Timeout: 1", "Request-Timeout: 1d"),
                get.replace("/api", "/other"),
                get.replace("GET", "POST"),
                get.replace("HTTP/1.1", "HTTP/9.9"),
                get.replace("\r\n\r\n", "\r\nX: " + "x".repeat(LARGE_HEAD) + "\r\n\r\n"),
                get.replace("\r\n\r\n", "\r\nRequest-Id: 2\r\n\r\n"),
                get + get,
                "GET /" + "x".repeat(LARGE_HEAD) + " HTTP/1.1\r\n\r\n",
                "POST /health/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    }

    private static List<String> invalidBodies(String post) {
        String length = "Content-Length: 3";
        return List.of(
                post.replace(length, "Content-Length: 99999"),
                post.replace(length, "Content-Length: x"),
                post.replace(length, "Content-Length: 3\r\nTransfer-Encoding: chunked"),
                post.replace(
                        "Content-Length: 3\r\n\r\nabc",
                        "Transfer-Encoding: chunked\r\n\r\n18000\r\n" + "x".repeat(0x18000) + "\r\n0\r\n\r\n"));
    }

    private void incompleteRequests() throws Exception {
        String get = TestClient.status("1");
        String post = TestClient.submit("1");
        try (TestClient client = sidecar.connect()) {
            client.send(post.replace("Content-Length", "Expect: 100-continue\r\nContent-Length"));
            assertNotNull(client.read());
            client.read();
        }
        try (TestClient leaving = sidecar.connect()) {
            leaving.send(post.substring(0, post.length() - 1));
        }
        try (TestClient waiting = sidecar.connect()) {
            waiting.send(get.substring(0, get.length() - 1));
            assertEquals(408, waiting.read().status());
        }
        // By now the watch has been silent for too long.
        sidecar.discovery().awaitWatch();
    }

    private static String entry(FakeServer endpoint, String health) {
        return TestSidecar.host("kept", endpoint.address(), health);
    }

    private void validLists(FakeServer endpoint) throws IOException {
        FakeDiscovery discovery = sidecar.discovery();
        String ready = entry(endpoint, "ready");
        String indented = sidecar.nextList(true, ready).replace(",", " ,\n  ").replace("{", "{\r\n\t");
        discovery.send(indented + "\n");
        discovery.sendByteByByte(sidecar.nextList(true, ready) + "\n");
        discovery.send("\n");
        discovery.send(sidecar.nextList(false, entry(endpoint, "draining")) + "\n");
        discovery.send(sidecar.nextList(false, entry(endpoint, "gone")) + "\n");
        discovery.send(sidecar.nextList(false, ready, ready.replace("kept", "new")) + "\n");
        sidecar.sendUntilReceived(RequestKind.IDEMPOTENT, endpoint);
    }

    private void endsOfWatch(FakeServer endpoint) throws Exception {
        FakeDiscovery discovery = sidecar.discovery();
        List<String> malformed = List.of(
                "[1]\n",
                "not json\n",
                "{\"seq\":1}\n",
                TestSidecar.list(1, false, entry(endpoint, "ready")) + "\n",
                sidecar.nextList(true, "{\"host\":1}") + "\n");
        // A sidecar that polls does so less and less often.
        for (String list : sidecar.pollsLists() ? malformed.subList(0, 1) : malformed) {
            discovery.send(list);
            discovery.awaitWatch();
        }
        discovery.resetWatch();
        discovery.awaitWatch();
        discovery.closeWatch();
        discovery.awaitWatch();
        discovery.completeWatch();
        discovery.awaitWatch();
    }

    private void reloads(FakeServer endpoint) throws Exception {
        FakeServer broken = sidecar.newEndpoint((request, wire) -> wire.answer("503 Service Unavailable", "", ""));
        sidecar.reload(broken.address());
        broken.awaitRequest();
        sidecar.reload(FakeServer.refusing());
        sidecar.reloadMalformed();
        sidecar.moveDiscovery();
        sidecar.discovery().send(TestSidecar.list(1, true, entry(endpoint, "ready")) + "\n");
    }

    private void gracefulShutdown() throws Exception {
        FakeServer silent = sidecar.meet(List.of(RequestKind.IDEMPOTENT), (request, wire) -> {});
        int received = silent.requests.size();
        ProgramProcess process = sidecar.process();
        try (TestClient idle = sidecar.connect();
                TestClient pending = sidecar.connect();
                TestClient incomplete = sidecar.connect()) {
            idle.exchange("GET /health/ready HTTP/1.1\r\n\r\n");
            incomplete.send("GET");
            pending.send(TestClient.submit("60"));
            process.await("request", () -> silent.requests.size() > received);
            process.terminate();
            assertTrue(List.of(502, 503).contains(pending.read().status()));
            assertNull(pending.read());
            assertNull(idle.read());
        }
        process.awaitExit();
    }
}
