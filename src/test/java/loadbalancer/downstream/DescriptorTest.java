package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Idle clients fill a real process while discovery is down: it loses neither its watch nor other clients. */
class DescriptorTest {
    private static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String NOTHING = "";
    private static final String HALF = "GET /api HTTP/1.1\r\nRequest-Id: half\r\n";

    @TempDir
    Path dir;

    private Process start(int descriptors, String config) throws IOException {
        Path file = Files.writeString(dir.resolve("c.json"), config);
        ProcessBuilder b = new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + descriptors + "; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx48m",
                "-XX:MaxDirectMemorySize=32m",
                "-cp",
                System.getProperty("java.class.path"),
                "loadbalancer.Main",
                "serve");
        b.environment().put("PROXY_CONFIG", file.toString());
        return b.redirectError(dir.resolve("err").toFile()).start();
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    // More than the descriptors, for as long as it runs: new ones come for those that were closed.
    private static final class Flood extends Thread {
        private final ArrayDeque<TestClient> held = new ArrayDeque<>();
        private final int port;
        private final int most;
        private final String what;

        Flood(int port, int most, String what) {
            this.port = port;
            this.most = most;
            this.what = what;
            setDaemon(true);
            start();
        }

        @Override
        public void run() {
            while (!isInterrupted()) {
                try {
                    TestClient c = new TestClient(port);
                    held.add(c);
                    c.send(first());
                    Thread.sleep(1);
                } catch (IOException x) {
                    // closed unread
                } catch (InterruptedException x) {
                    interrupt();
                }
                if (held.size() > most) {
                    leave(held.poll());
                }
            }
        }

        private String first() {
            return switch (what) {
                case "open" -> TestClient.submit("50");
                case "half" -> HALF;
                default -> NOTHING;
            };
        }

        private static void leave(TestClient c) {
            try {
                c.close();
            } catch (IOException x) {
                throw new java.io.UncheckedIOException(x);
            }
        }

        void end() throws InterruptedException {
            interrupt();
            join();
            held.forEach(Flood::leave);
            held.clear();
        }
    }

    // A connection may be shut unread, and a request refused while room is short: it is tried again.
    private static void assertServed(int port, int wanted) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.PATIENCE_S);
        for (int served = 0; served < wanted; ) {
            assertTrue(System.nanoTime() < end, "only " + served + " served");
            try (TestClient c = new TestClient(port)) {
                TestClient.Answer a = c.ask(TestClient.status("5"));
                served += a != null && a.status() == 200 ? 1 : 0;
            } catch (IOException x) {
                Thread.sleep(1);
            }
        }
    }

    private static long descriptors(Process p) throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(p.pid()), "fd"))) {
            return open.count();
        }
    }

    private static void awaitDescriptors(Process p, boolean more, long bound) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.PATIENCE_S);
        while (more ? descriptors(p) < bound : descriptors(p) > bound) {
            assertTrue(System.nanoTime() < end && p.isAlive(), "holds " + descriptors(p) + ", bound " + bound);
            Thread.sleep(5);
        }
    }

    // In the last rows the process may hold fewer than it was told: accept and connect fail for want of them.
    @ParameterizedTest
    @CsvSource({"256, 256, silent", "256, 256, half", "256, 256, open", "64, 1024, silent", "64, 1024, half"})
    void theWatchComesBackThoughClientsHoldAllTheyCan(int descriptors, int told, String what) throws Exception {
        String listen = FakeServer.refusing();
        // At an address of its own, or one of the flood's connections may have its port when it comes back.
        InetAddress at = InetAddress.getByName("127.0.0.2");
        String discovery = at.getHostAddress() + ":" + port(FakeServer.refusing());
        FakeServer.Script slowSubmits = (r, w) -> {
            if (!r.headers().get("request-class").equals("submit")) {
                w.ok("done");
            }
        };
        try (FakeServer e = new FakeServer(slowSubmits);
                FakeServer f = new FakeServer(slowSubmits)) {
            Process p = start(descriptors, TestSidecar.config(listen, discovery, told, e.address(), f.address()));
            try {
                awaitReady(p, port(listen));
                long atRest = descriptors(p);
                Flood flood = new Flood(port(listen), descriptors + 100, what);
                awaitDescriptors(p, true, descriptors == told ? descriptors * 7 / 16 : descriptors - 1);
                try (FakeServer d = new FakeServer(at, port(discovery), (r, w) -> w.text(WATCH))) {
                    if (descriptors == told) {
                        d.awaitRequest();
                        assertServed(port(listen), 5);
                    }
                    flood.end();
                    if (descriptors != told) {
                        d.awaitRequest();
                    }
                    assertServed(port(listen), 20);
                    awaitDescriptors(p, false, atRest + 40);
                    assertTrue(p.isAlive());
                    assertTrue(Files.readAllLines(dir.resolve("err")).stream()
                            .noneMatch(l -> l.contains("Error") || l.contains("policy event failed")));
                } finally {
                    flood.end();
                }
            } finally {
                p.destroyForcibly();
            }
        }
    }

    private static void awaitReady(Process p, int port) throws Exception {
        for (int i = 0; p.isAlive() && i < 4000; i++) {
            try (TestClient c = new TestClient(port)) {
                // It listens a moment before it is ready; until then whoever has the port may close unread.
                TestClient.Answer a = c.ask("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                if (a != null && a.status() == 200) {
                    return;
                }
            } catch (IOException x) {
                // not yet
            }
            Thread.sleep(5);
        }
        throw new AssertionError("did not start");
    }
}
