package loadbalancer.discovery;

import static loadbalancer.discovery.WatchResponses.HEAD;
import static loadbalancer.discovery.WatchResponses.line;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.lifecycle.ConfigurationReload;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A sidecar's watch: changes are applied, and when a call fails the old list stays in use and is requested again. */
class SidecarDiscoveryTest {
    private static final String READINESS = "GET /health/ready HTTP/1.1\r\n\r\n";

    /** A discovery service that sends this to its first call and closes it, and leaves the next one open. */
    private static FakeServer failingOnce(String firstResponse) throws IOException {
        AtomicBoolean failed = new AtomicBoolean();
        return new FakeServer((request, wire) -> {
            if (failed.compareAndSet(false, true)) {
                wire.text(firstResponse);
                wire.socket().close();
            } else {
                wire.text(HEAD + line(""));
            }
        });
    }

    /** Sends requests until an endpoint responds with this body, which may take the sidecar some time. */
    private static void awaitBody(TestClient client, String body) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_SECONDS);
        while (!client.exchange(TestClient.submit("5")).body().equals(body)) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("no response of " + body);
            }
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            assertTrue(latch.await(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS), "never released");
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{'seq':42,'whole':false,'hosts':[NEXT,{'host':'s0','dial':'127.0.0.1:9','health':'draining'}]}",
                "{'seq':42,'whole':false,'hosts':[NEXT,{'host':'s0','health':'gone'}]}",
                "{'seq':50,'whole':true,'hosts':[NEXT]}"
            })
    void sendsNothingToDrainingOrRemovedEndpoint(String change) throws Exception {
        try (FakeServer old = new FakeServer((request, wire) -> wire.ok("old"));
                FakeServer next = new FakeServer((request, wire) -> wire.ok("next"));
                FakeServer discovery = new FakeServer((request, wire) -> wire.text(HEAD
                        + line("")
                        + line(change.replace('\'', '"')
                                .replace("NEXT", TestSidecar.host("s1", next.address(), "ready")))));
                TestSidecar sidecar = new TestSidecar(discovery.address(), old.address());
                TestClient client = sidecar.client()) {
            assertTrue(discovery.awaitRequest().line().contains("/registry/instances?watch=1&after=41 "));
            awaitBody(client, "next");
            int before = old.requests.size();
            for (int i = 0; i < 20; i++) {
                assertEquals("next", client.exchange(TestClient.submit("5")).body());
            }
            assertEquals(before, old.requests.size());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{[\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n16\r\n{\"seq\":99,\"whole\":true}\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                ""
            })
    void keepsOldListAndRetriesAfterFailedCall(String response) throws Exception {
        try (FakeServer endpoint = new FakeServer((request, wire) -> wire.ok("done"));
                FakeServer discovery = failingOnce(response);
                TestSidecar sidecar = new TestSidecar(discovery.address(), endpoint.address());
                TestClient client = sidecar.client()) {
            discovery.awaitRequest();
            assertTrue(discovery.awaitRequest().line().contains("after=41 "));
            assertEquals("done", client.exchange(TestClient.submit("5")).body());
        }
    }

    @Test
    void reopensIdleWatchFromLastVersion() throws Exception {
        try (FakeServer endpoint = new FakeServer((request, wire) -> wire.ok("done"));
                FakeServer discovery = new FakeServer((request, wire) -> wire.text(HEAD
                        + line(TestSidecar.list(77, false, TestSidecar.host("s0", endpoint.address(), "ready")))));
                TestSidecar sidecar = new TestSidecar(discovery.address(), endpoint.address())) {
            assertTrue(discovery.awaitRequest().line().contains("after=41 "));
            discovery.awaitClose();
            assertTrue(discovery.awaitRequest().line().contains("after=77 "));
            try (TestClient client = sidecar.client()) {
                assertEquals("done", client.exchange(TestClient.submit("5")).body());
            }
        }
    }

    @Test
    void renewsWatchOfPushedList() throws Exception {
        try (FakeServer endpoint = new FakeServer((request, wire) -> wire.ok("done"));
                FakeServer discovery = failingOnce("");
                TestSidecar sidecar = new TestSidecar(1024, discovery.address(), "push", endpoint.address());
                TestClient client = sidecar.client()) {
            discovery.awaitRequest();
            discovery.awaitRequest();
            assertEquals("done", client.exchange(TestClient.submit("5")).body());
        }
    }

    @Test
    void becomesReadyWithFirstPushedList() throws Exception {
        CountDownLatch sendList = new CountDownLatch(1);
        try (FakeServer endpoint = new FakeServer((request, wire) -> wire.ok("done"));
                FakeServer discovery = new FakeServer((request, wire) -> {
                    await(sendList);
                    wire.text(HEAD + line(TestSidecar.list(42, false)));
                });
                TestSidecar sidecar = new TestSidecar(1024, discovery.address(), "push", endpoint.address());
                TestClient client = sidecar.client()) {
            assertEquals(503, client.exchange(READINESS).status());
            sendList.countDown();
            sidecar.await(sidecar.server::isReady);
            assertEquals(200, client.exchange(READINESS).status());
        }
    }

    @Test
    void becomesReadyThoughAgentIsUnreachable() throws Exception {
        try (TestSidecar sidecar = new TestSidecar(1024, FakeServer.refusing(), "push", FakeServer.refusing());
                TestClient client = sidecar.client()) {
            assertEquals(503, client.exchange(READINESS).status());
            sidecar.await(sidecar.server::isReady);
            assertEquals(200, client.exchange(READINESS).status());
        }
    }

    @Test
    void migratesWatchOnReloadAndIgnoresOldOne(@TempDir Path directory) throws Exception {
        List<String> log = new CopyOnWriteArrayList<>();
        AtomicReference<FakeServer.Connection> oldCall = new AtomicReference<>();
        CountDownLatch sendList = new CountDownLatch(1);
        try (FakeServer endpoint = new FakeServer((request, wire) -> wire.ok("old"));
                FakeServer next = new FakeServer((request, wire) -> wire.ok("next"));
                FakeServer outdated = new FakeServer((request, wire) -> wire.ok("outdated"));
                FakeServer oldDiscovery = new FakeServer((request, wire) -> {
                    oldCall.set(wire);
                    wire.text(HEAD + line(""));
                });
                FakeServer newDiscovery = discoveryListing(next, sendList);
                TestSidecar sidecar = new TestSidecar(oldDiscovery.address(), endpoint.address())) {
            oldDiscovery.awaitRequest();
            Path file = directory.resolve("c.json");
            ConfigurationReload reload = reload(file, sidecar, log);
            String valid = TestSidecar.config("127.0.0.1:0", newDiscovery.address(), 1024);
            assertEquals(3, rejectedReloads(sidecar, reload, file, valid.replace(newDiscovery.address(), "x"), log));
            assertEquals(0, newDiscovery.connections());

            // Two reloads in a row migrate once; what the old watch sent is read too late, for the loop is busy.
            Files.writeString(file, valid);
            sidecar.call(() -> {
                oldCall.get().text(line(listWith(endpoint, outdated)));
                reload.run();
                reload.run();
                return null;
            });
            oldDiscovery.awaitClose();
            assertFalse(newDiscovery.awaitRequest().line().contains("after"));
            try (TestClient client = sidecar.client()) {
                assertEquals("old", client.exchange(TestClient.submit("5")).body());
                sendList.countDown();
                awaitBody(client, "next");
            }
            assertEquals(0, outdated.connections());
            assertEquals(1, newDiscovery.connections());
            assertEquals(1, oldDiscovery.connections());
        }
    }

    private static String listWith(FakeServer known, FakeServer added) {
        return TestSidecar.list(
                99,
                true,
                TestSidecar.host("s0", known.address(), "ready"),
                TestSidecar.host("s1", added.address(), "ready"));
    }

    /** A discovery service that lists this endpoint once the latch is released. */
    private static FakeServer discoveryListing(FakeServer endpoint, CountDownLatch sendList) throws IOException {
        return new FakeServer((request, wire) -> {
            await(sendList);
            wire.text(HEAD + line(TestSidecar.list(7, true, TestSidecar.host("s1", endpoint.address(), "ready"))));
        });
    }

    private static ConfigurationReload reload(Path file, TestSidecar sidecar, List<String> log) {
        return new ConfigurationReload(file.toString(), new ObjectMapper(), sidecar.discovery, log::add);
    }

    /** Reloads a missing file, one that is not JSON, and one with this text; returns how many were rejected. */
    private static long rejectedReloads(
            TestSidecar sidecar, ConfigurationReload reload, Path file, String invalid, List<String> log)
            throws Exception {
        sidecar.group.next().submit(reload).get();
        for (String text : List.of("{", invalid)) {
            Files.writeString(file, text);
            sidecar.group.next().submit(reload).get();
        }
        return log.stream()
                .filter(line -> line.contains("configuration reload rejected"))
                .count();
    }
}
