package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.jar.JarOutputStream;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import loadbalancer.Main;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The class archive, made and used by the commands of {@code deploy/balancer.toml}: a turn of the loop that
 * meets something for the first time must not load classes from the jar.
 */
class ArchiveTest {
    private static final int TRIES = 400;
    private static final int MAX_TRAINING_S = 240;

    @TempDir
    Path dir;

    // One archive serves both ways of a list, as in service.
    @Test
    void whatTheFirstOfEachKindNeedsIsInTheArchive() throws Exception {
        Path jar = jar();
        Path errors = dir.resolve("err");
        String build = command("build");
        Process training = shell(build.substring(build.indexOf("&&") + 2), jar, errors);
        assertTrue(training.waitFor(MAX_TRAINING_S, TimeUnit.SECONDS));
        String told = Files.readString(errors);
        assertEquals(0, training.exitValue(), told);
        assertFalse(told.contains("left out"), told);
        assertTrue(Files.exists(dir.resolve("load-balancing-sidecar.jsa")));
        rarePathsLoadNothing("push", jar);
        rarePathsLoadNothing("ask", jar);
    }

    private void rarePathsLoadNothing(String how, Path jar) throws Exception {
        Path loaded = dir.resolve("loaded-" + how);
        int before = new Drive(how, loaded, jar).run();
        List<String> lines = Files.readAllLines(loaded);
        List<String> outside = new ArrayList<>();
        for (int i = before; i < lines.size(); i++) {
            if (!lines.get(i).contains("source: shared objects file")) {
                // What was loaded just before tells where.
                outside.add(lines.get(i) + " after " + lines.subList(Math.max(0, i - 4), i));
            }
        }
        assertTrue(
                outside.isEmpty(),
                () -> outside.size() + " of " + (lines.size() - before) + " were not in the archive:\n"
                        + String.join("\n", outside));
    }

    /** One of the deploy file's commands. */
    private static String command(String name) throws IOException {
        Matcher m = Pattern.compile("(?m)^" + name + " = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertTrue(m.find());
        return m.group(1).replace("\\\"", "\"");
    }

    // A command as it stands, but for the place of what is built and the JVM, which is the one under test.
    private Process shell(String command, Path jar, Path errors) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder b = new ProcessBuilder(
                "/bin/sh",
                "-c",
                command.replace("target/load-balancing-sidecar.jar", jar.toString())
                        .replace("target/", dir + "/")
                        .replaceFirst("java ", java + " "));
        b.environment().put("TMPDIR", dir.toString());
        if (!command.contains("PROXY_CONFIG")) {
            b.environment().put("PROXY_CONFIG", dir.resolve("c.json").toString());
        }
        return b.redirectError(errors.toFile())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    // A class path with folders has no archive: the classes under test and their libraries in one file, as the
    // package has them.
    private Path jar() throws Exception {
        Path jar = dir.resolve("load-balancing-sidecar.jar");
        Path classes = Path.of(
                Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        Set<String> seen = new HashSet<>();
        try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(jar))) {
            out.putNextEntry(new JarEntry(JarFile.MANIFEST_NAME));
            out.write("Manifest-Version: 1.0\nMain-Class: loadbalancer.Main\n\n".getBytes(StandardCharsets.UTF_8));
            if (Files.isDirectory(classes)) {
                try (Stream<Path> files = Files.walk(classes)) {
                    for (Path file : files.filter(Files::isRegularFile).toList()) {
                        add(classes.relativize(file).toString(), Files.readAllBytes(file), seen, out);
                    }
                }
            }
            for (String part : System.getProperty("java.class.path").split(File.pathSeparator)) {
                if (part.endsWith(".jar") && (part.contains("netty") || part.contains("jackson"))) {
                    addAll(part, seen, out);
                }
            }
        }
        return jar;
    }

    private static void addAll(String from, Set<String> seen, JarOutputStream out) throws IOException {
        try (JarFile file = new JarFile(from)) {
            for (JarEntry entry : file.stream().toList()) {
                if (entry.getName().endsWith(".class") && !entry.getName().startsWith("META-INF")) {
                    add(entry.getName(), file.getInputStream(entry).readAllBytes(), seen, out);
                }
            }
        }
    }

    private static void add(String name, byte[] bytes, Set<String> seen, JarOutputStream out) throws IOException {
        if (seen.add(name)) {
            out.putNextEntry(new JarEntry(name));
            out.write(bytes);
        }
    }

    /** The service that discovery is, on a connection that this can write to. */
    private static final class Registry implements AutoCloseable {
        private final BlockingQueue<FakeServer.Wire> watches = new LinkedBlockingQueue<>();
        private final FakeServer server = new FakeServer((r, w) -> {
            w.text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            watches.add(w);
        });
        private FakeServer.Wire watch;

        private Registry() throws IOException {}

        private void awaitWatch() throws Exception {
            watch = watches.poll(FakeServer.PATIENCE_S, TimeUnit.SECONDS);
            assertNotNull(watch, "no watch came");
            newest();
        }

        // On a machine that stood still for long, a watch may have fallen silent that was not meant to.
        private void newest() {
            for (FakeServer.Wire w = watches.poll(); w != null; w = watches.poll()) {
                watch = w;
            }
        }

        private void tell(String text) throws IOException {
            newest();
            watch.chunk(text);
        }

        /** Cuts every name, number and word of a list, as reads of any size may. */
        private void tellByteByByte(String text) throws IOException {
            newest();
            for (char c : text.toCharArray()) {
                watch.chunk(String.valueOf(c));
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A sidecar in a process of its own, which meets one thing after the other. */
    private final class Drive {
        private final String how;
        private final Path loaded;
        private final Path jar;
        private final Path config = dir.resolve("c.json");
        private final String listen = FakeServer.refusing();
        private final int port = URI.create("tcp://" + listen).getPort();
        private final List<FakeServer> endpoints = new ArrayList<>();
        private Registry registry;
        private long seq = 100;

        private Drive(String how, Path loaded, Path jar) throws IOException {
            this.how = how;
            this.loaded = loaded;
            this.jar = jar;
        }

        private void configure(String discovery, String... known) throws IOException {
            Files.writeString(
                    config,
                    TestSidecar.config(listen, discovery, 1024, known)
                            .replace("\"discovery\":\"ask\"", "\"discovery\":\"" + how + "\""));
        }

        /** Runs it all; how many classes were loaded when the sidecar was ready. */
        private int run() throws Exception {
            try (Registry first = new Registry();
                    Registry second = new Registry()) {
                registry = first;
                configure(first.server.address());
                Process p = shell(
                        command("run").replace("-Xlog:disable", "-Xlog:disable -Xlog:class+load:file=" + loaded),
                        jar,
                        dir.resolve("run-err"));
                try {
                    registry.awaitWatch();
                    registry.tell(TestSidecar.list(++seq, true) + "\n");
                    awaitReady(p);
                    int before = Files.readAllLines(loaded).size();
                    answers();
                    badClients();
                    lists(second, p);
                    drain(p);
                    return before;
                } finally {
                    p.destroyForcibly();
                    for (FakeServer e : endpoints) {
                        e.close();
                    }
                }
            }
        }

        private void awaitReady(Process p) throws Exception {
            for (int i = 0; i < 2000 && p.isAlive(); i++) {
                try (TestClient c = new TestClient(port)) {
                    if (c.ask("GET /health/ready HTTP/1.1\r\n\r\n").status() == 200) {
                        return;
                    }
                } catch (ConnectException e) {
                    // not yet
                }
                Thread.sleep(10);
            }
            throw new AssertionError("never ready; " + Files.readString(dir.resolve("run-err")));
        }

        // Each endpoint is the only one on the list, under a name of its own, and is asked until it has been.
        private FakeServer meet(String requests, FakeServer.Script script) throws Exception {
            FakeServer e = new FakeServer(script);
            endpoints.add(e);
            String name = "e" + endpoints.size();
            registry.tell(TestSidecar.list(++seq, true, TestSidecar.host(name, e.address(), "ready")) + "\n");
            for (String request : requests.split(" ")) {
                int seen = e.requests.size();
                for (int i = 0; i < TRIES && e.requests.size() == seen; i++) {
                    ask(request);
                }
            }
            return e;
        }

        private TestClient.Answer ask(String kind) throws IOException {
            registry.tell("\n");
            String request =
                    switch (kind) {
                        case "get" -> TestClient.status("0.300");
                        case "post" -> TestClient.submit("0.300");
                        case "keyed" -> TestClient.pay("0.300");
                        default -> TestClient.status("0.300").replace("Request-Id", "Connection: close\r\nRequest-Id");
                    };
            try (TestClient c = new TestClient(port)) {
                return c.ask(request);
            }
        }

        private void answers() throws Exception {
            String all = "get post keyed closing";
            FakeServer good = meet(
                    all + " get get",
                    (r, w) ->
                            w.answer("200 OK", "Server-Load: util=0.5,qps=3\r\nContent-Type: text/plain\r\n", "done"));
            assertTrue(good.requests.size() >= 6);
            meet(all, (r, w) -> w.answer("500 Internal Server Error", "", "no"));
            meet(all, (r, w) -> w.answer("503 Service Unavailable", "Not-Started: 1\r\n", ""));
            meet(all, (r, w) -> w.answer("504 Gateway Timeout", "Not-Started: 1\r\nRetry-After: 1\r\n", ""));
            meet(all, (r, w) -> w.reset());
            meet(all, (r, w) -> w.socket().close());
            meet(all, (r, w) -> {
                w.text("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
                w.reset();
            });
            meet(all, (r, w) -> w.text("noise\r\nnoise\r\n\r\n"));
            meet(all, (r, w) -> w.text("HTTP/1.1 200 OK\r\nno colon\r\n\r\n"));
            meet(all, (r, w) -> w.text("HTTP/1.1 200 OK\r\n" + "X: y\r\n".repeat(5000)));
            meet(all, (r, w) -> w.text("HTTP/1.1 200 OK\r\nX: " + "y".repeat(20_000)));
            meet(all, (r, w) -> w.text("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n"));
            meet(
                    all,
                    (r, w) -> w.text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "15000\r\n"
                            + "z".repeat(0x15000) + "\r\n0\r\n\r\n"));
            meet(all, (r, w) -> w.text("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"));
            meet(
                    all,
                    (r, w) -> w.text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "4\r\ndone\r\n0\r\nTrailer: x\r\n\r\n"));
            meet(all, (r, w) -> w.text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"));
            meet(all, (r, w) -> w.text("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
            meet(all, (r, w) -> w.text("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"));
            meet(all, (r, w) -> {});
            meet("get post", (r, w) -> w.text("HTTP/1.1 200 OK\r\nContent-Le"));
            meet(all, (r, w) -> {
                w.text("HTTP/1.1 200 OK\r\n\r\ndone");
                w.socket().close();
            });
            meet(all, (r, w) -> {
                w.text("HTTP/1.1 200 OK\r\n\r\nhalf");
                w.reset();
            });
            refusing(all);
            leaving();
        }

        private void refusing(String requests) throws Exception {
            registry.tell(
                    TestSidecar.list(++seq, true, TestSidecar.host("none", FakeServer.refusing(), "ready")) + "\n");
            for (String request : requests.split(" ")) {
                for (int i = 0; i < TRIES && ask(request).status() == 200; i++) {}
                ask(request);
            }
        }

        private void leaving() throws Exception {
            FakeServer silent = new FakeServer((r, w) -> {});
            endpoints.add(silent);
            registry.tell(TestSidecar.list(++seq, true, TestSidecar.host("silent", silent.address(), "ready")) + "\n");
            for (int i = 0; i < TRIES && silent.requests.isEmpty(); i++) {
                try (TestClient c = new TestClient(port)) {
                    c.send(TestClient.submit("0.900"));
                    if (silent.connections() > 0) {
                        silent.awaitRequest();
                    } else {
                        c.read();
                    }
                }
            }
        }

        private void badClients() throws Exception {
            String get = TestClient.status("1");
            String post = TestClient.submit("1");
            for (String bad : List.of(
                    "noise\r\n\r\n",
                    get.replace("Request-Id", "Other"),
                    get.replace("Request-Timeout: 1", "Request-Timeout: 1d"),
                    get.replace("/api", "/other"),
                    get.replace("GET", "POST"),
                    get.replace("HTTP/1.1", "HTTP/9.9"),
                    get.replace("\r\n\r\n", "\r\nX: " + "x".repeat(20_000) + "\r\n\r\n"),
                    get.replace("\r\n\r\n", "\r\nRequest-Id: 2\r\n\r\n"),
                    get + get,
                    "GET /" + "x".repeat(20_000) + " HTTP/1.1\r\n\r\n",
                    "POST /health/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
                    post.replace("Content-Length: 3", "Content-Length: 99999"),
                    post.replace("Content-Length: 3", "Content-Length: x"),
                    post.replace("Content-Length: 3", "Content-Length: 3\r\nTransfer-Encoding: chunked"),
                    post.replace(
                            "Content-Length: 3\r\n\r\nabc",
                            "Transfer-Encoding: chunked\r\n\r\n18000\r\n" + "x".repeat(0x18000) + "\r\n0\r\n\r\n"))) {
                try (TestClient c = new TestClient(port)) {
                    c.send(bad);
                    assertNotNull(c.read(), bad);
                }
            }
            try (TestClient c = new TestClient(port)) {
                c.send(post.replace("Content-Length", "Expect: 100-continue\r\nContent-Length"));
                assertNotNull(c.read());
                c.read();
            }
            // Half a request, by one who leaves, and by one who waits for the word that it came too late.
            try (TestClient c = new TestClient(port)) {
                c.send(post.substring(0, post.length() - 1));
            }
            try (TestClient c = new TestClient(port)) {
                c.send(get.substring(0, get.length() - 1));
                assertEquals(408, c.read().status());
            }
            // By now discovery has been silent for too long.
            registry.awaitWatch();
        }

        private void lists(Registry second, Process p) throws Exception {
            FakeServer e = meet("get", (r, w) -> w.ok("done"));
            String host = TestSidecar.host("kept", e.address(), "ready");
            registry.tell(
                    TestSidecar.list(++seq, true, host).replace(",", " ,\n  ").replace("{", "{\r\n\t") + "\n");
            registry.tellByteByByte(TestSidecar.list(++seq, true, host) + "\n");
            registry.tell("\n");
            registry.tell(TestSidecar.list(++seq, false, TestSidecar.host("kept", e.address(), "draining")) + "\n");
            registry.tell(TestSidecar.list(++seq, false, TestSidecar.host("kept", e.address(), "gone")) + "\n");
            registry.tell(TestSidecar.list(++seq, false, host, host.replace("kept", "new")) + "\n");
            int asked = e.requests.size();
            for (int i = 0; i < TRIES && e.requests.size() == asked; i++) {
                ask("get");
            }
            // What follows ends the watch, each time another way.
            // Where it is asked, it is asked more and more rarely.
            List<String> spoilt = List.of(
                    "[1]\n",
                    "not json\n",
                    "{\"seq\":1}\n",
                    TestSidecar.list(1, false, host) + "\n",
                    TestSidecar.list(++seq, true, "{\"host\":1}") + "\n");
            for (String bad : how.equals("ask") ? spoilt.subList(0, 1) : spoilt) {
                registry.tell(bad);
                registry.awaitWatch();
            }
            registry.watch.reset();
            registry.awaitWatch();
            registry.watch.socket().close();
            registry.awaitWatch();
            registry.watch.text("0\r\n\r\n");
            registry.awaitWatch();
            FakeServer broken = new FakeServer((r, w) -> w.answer("503 Service Unavailable", "", ""));
            endpoints.add(broken);
            hangup(p, broken.address());
            broken.awaitRequest();
            hangup(p, FakeServer.refusing());
            Files.writeString(config, "{");
            hangup(p);
            hangup(p, second.server.address());
            registry = second;
            registry.awaitWatch();
            registry.tell(TestSidecar.list(1, true, host) + "\n");
        }

        private void hangup(Process p, String... discovery) throws Exception {
            if (discovery.length > 0) {
                configure(discovery[0]);
            }
            int told = told();
            new ProcessBuilder("kill", "-HUP", Long.toString(p.pid())).start().waitFor();
            for (int i = 0; i < 2000 && told() == told; i++) {
                Thread.sleep(10);
            }
            assertTrue(told() > told, "the hangup was not heard of");
        }

        private int told() throws IOException {
            return (int) Files.readAllLines(dir.resolve("run-err")).stream()
                    .filter(l -> l.startsWith("configuration"))
                    .count();
        }

        private void drain(Process p) throws Exception {
            FakeServer silent = meet("get", (r, w) -> {});
            int seen = silent.requests.size();
            try (TestClient idle = new TestClient(port);
                    TestClient held = new TestClient(port);
                    TestClient half = new TestClient(port)) {
                idle.ask("GET /health/ready HTTP/1.1\r\n\r\n");
                half.send("GET");
                held.send(TestClient.submit("60"));
                for (int i = 0; i < 2000 && silent.requests.size() == seen; i++) {
                    Thread.sleep(10);
                }
                p.destroy();
                assertTrue(List.of(502, 503).contains(held.read().status()));
                assertNull(held.read());
                assertNull(idle.read());
            }
            assertTrue(p.waitFor(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
        }
    }
}
