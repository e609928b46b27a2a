package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Responses without a length in pieces of any size, each of which ends in order or by a reset, to many clients at once:
 * those that were complete are served with their own body, and no others.
 */
class RandomEndingsTest {
    private static final int CLIENTS = 8;
    private static final int REQUESTS_EACH = 60;
    private static final int MAX_PIECES = 5;
    private static final int MAX_PIECE_LENGTH = 3000;

    private enum Ending {
        CLOSE,
        HALF_CLOSE,
        RESET
    }

    /** What was sent for one request. */
    private record Sent(String body, Ending ending) {}

    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();

    private void respond(long seed, FakeServer.Request request, FakeServer.Connection wire) throws IOException {
        String id = request.headers().get("request-id");
        Random random = new Random(seed ^ id.hashCode());
        List<String> pieces = new ArrayList<>(List.of("HTTP/1.1 200 OK\r\n", "\r\n"));
        StringBuilder body = new StringBuilder();
        for (int i = random.nextInt(MAX_PIECES); i > 0; i--) {
            String piece = id + "x".repeat(random.nextInt(MAX_PIECE_LENGTH));
            pieces.add(piece);
            body.append(piece);
        }
        Ending ending = Ending.values()[random.nextInt(Ending.values().length)];
        sent.put(id, new Sent(body.toString(), ending));
        for (String piece : pieces) {
            wire.text(piece);
        }
        switch (ending) {
            case CLOSE -> wire.socket().close();
            case HALF_CLOSE -> wire.socket().shutdownOutput();
            case RESET -> wire.reset();
        }
    }

    private Void sendRequests(TestSidecar sidecar) throws Exception {
        try (TestClient client = sidecar.client()) {
            for (int i = 0; i < REQUESTS_EACH; i++) {
                String request = TestClient.submit("50");
                TestClient.Response answer = client.exchange(request);
                String id = request.replaceAll("(?s).*Request-Id: (\\S+).*", "$1");
                assertAnswerMatches(sent.get(id), answer);
            }
        }
        return null;
    }

    private void assertAnswerMatches(Sent response, TestClient.Response answer) {
        if (response == null) {
            assertEquals(503, answer.status(), "never sent");
        } else if (response.ending == Ending.RESET) {
            assertEquals(502, answer.status());
        } else {
            assertEquals(200, answer.status());
            assertEquals(response.body, answer.body());
            served.incrementAndGet();
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void servesOnlyCompleteResponses(long seed) throws Exception {
        FakeServer.Script script = (request, wire) -> respond(seed, request, wire);
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        try (FakeServer first = new FakeServer(script);
                FakeServer second = new FakeServer(script);
                FakeServer third = new FakeServer(script);
                TestSidecar sidecar =
                        new TestSidecar(FakeServer.refusing(), first.address(), second.address(), third.address())) {
            List<Future<Void>> running = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                running.add(clients.submit(() -> sendRequests(sidecar)));
            }
            for (Future<Void> client : running) {
                client.get(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            }
            sidecar.await(() -> sidecar.dispatcher.pendingCount() == 0);
            assertTrue(served.get() > 0);
        } finally {
            clients.shutdownNow();
        }
    }
}
