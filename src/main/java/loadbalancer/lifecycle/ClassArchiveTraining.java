package loadbalancer.lifecycle;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import loadbalancer.protocol.Decimals;

/**
 * What the build runs so that the class archive holds more than an ordinary start needs: a sidecar as {@code
 * serve} starts it meets the first of each kind of answer, client, list and signal. Without, those classes
 * and lambdas were read from the jar and linked on the event loop, in a turn that had requests waiting. It is
 * no part of {@code check}, which is to be quick, and {@code serve} never loads this class. A step that can't
 * be played is told and left out: an archive that holds less is no reason to fail a build.
 */
public final class ClassArchiveTraining {
    private static final int PATIENCE_MS = 5000;
    private static final int TRIES = 50;
    private static final int LARGE = 90_000;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String EMPTY = "Content-Length: 0\r\n\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
    private static final List<String> ANSWERS = List.of(
            OK + "Server-Load: util=0.5,qps=3,eps=0\r\nContent-Type: text/plain\r\n" + "Content-Length: 4\r\n\r\ndone",
            "HTTP/1.1 500 Internal Server Error\r\n" + EMPTY,
            "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\n" + EMPTY,
            TrainingServer.RESET,
            TrainingServer.CLOSE,
            "noise\r\nnoise\r\n\r\n",
            OK + "no colon\r\n\r\n",
            OK + "X: y\r\n".repeat(LARGE / 6),
            OK + "X: " + "y".repeat(LARGE),
            OK + "Content-Length: " + LARGE + "\r\n\r\n",
            OK + "Content-Length: x\r\n\r\n",
            OK + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
            CHUNKED + "4\r\ndone\r\n0\r\nTrailer: x\r\n\r\n",
            CHUNKED + "zz\r\n",
            CHUNKED + Integer.toHexString(LARGE) + "\r\n" + "z".repeat(LARGE) + "\r\n0\r\n\r\n",
            OK + TrainingServer.THEN_CLOSE,
            OK + TrainingServer.THEN_RESET,
            "HTTP/1.1 100 Continue\r\n\r\n" + OK + EMPTY,
            OK + EMPTY + OK + EMPTY,
            OK + "Content-Le",
            "");

    private final Path file;
    private final boolean pushed;
    private final ObjectMapper mapper = new ObjectMapper();
    private final ObjectNode config;
    private final int port;
    private final TrainingServer discovery = new TrainingServer(CHUNKED);
    private TrainingServer watched;
    private Socket watch;
    private int seq;
    private int requests;

    private ClassArchiveTraining(String path, Path file, boolean pushed) throws IOException {
        this.file = file;
        this.pushed = pushed;
        this.config = (ObjectNode) mapper.readTree(Path.of(path).toFile());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            this.port = free.getLocalPort();
        }
        config.put("listen", "127.0.0.1:" + port);
        ObjectNode settings = (ObjectNode) config.get("settings");
        settings.put("discovery", pushed ? "push" : "ask");
        ArrayNode classes = settings.putArray("classes");
        for (String effect : List.of("idempotent", "at_most_once", "deduplicated")) {
            classes.addObject()
                    .put("name", effect)
                    .put("effect", effect)
                    .put("group", "all")
                    .put("window", 500)
                    .put("slo", 30_000)
                    .put("deadline", 60_000)
                    .put("value", 1)
                    .put("late_worth", 0);
        }
    }

    /** Plays it all, once for each way that lists come, and ends the process by a drain. */
    public static void run(String path) {
        try {
            Path file = Files.createTempFile("training", ".json");
            for (boolean pushed : new boolean[] {false, true}) {
                new ClassArchiveTraining(path, file, pushed).play();
            }
            Files.delete(file);
        } catch (Exception e) {
            tell(e);
        }
    }

    /** A step, which may fail. */
    private interface Step {
        void run() throws Exception;
    }

    private void play() throws Exception {
        configure(discovery.address());
        SidecarProcess process = SidecarProcess.prepare(file.toString());
        process.serve();
        awaitWatch(discovery);
        list(true);
        for (int i = 0; i < TRIES && !ask("GET /health/ready HTTP/1.1\r\n\r\n").contains(" 200 "); i++) {
            TimeUnit.MILLISECONDS.sleep(PATIENCE_MS / TRIES);
        }
        for (String answer : ANSWERS) {
            step(() -> meet(answer));
        }
        step(ClassArchiveTraining::round);
        step(this::refused);
        step(this::leave);
        step(this::lists);
        step(this::badClients);
        step(this::hangups);
        List<Socket> held = hold();
        // Here and not by the end of the process alone: what runs then is noted only in part.
        process.shutDown();
        held.forEach(ClassArchiveTraining::close);
    }

    // A number that is rounded by its digits, which few are.
    private static void round() {
        Decimals.formatThousandths(0.0005);
    }

    private static void step(Step step) {
        try {
            step.run();
        } catch (Exception e) {
            tell(e);
        }
    }

    private static void tell(Exception e) {
        System.err.println("left out of the class archive: " + e + " at " + e.getStackTrace()[0]);
    }

    private void configure(String address) throws IOException {
        Files.writeString(file, config.put("discovery", address).toString());
    }

    private void awaitWatch(TrainingServer from) throws Exception {
        watched = from;
        watch = from.asked().poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
        if (watch == null) {
            throw new IOException("no watch came");
        }
        newest();
    }

    private void newest() {
        for (Socket newer = watched.asked().poll();
                newer != null;
                newer = watched.asked().poll()) {
            watch = newer;
        }
    }

    private static String host(String name, String address, String health) {
        return String.format(
                Locale.ROOT,
                "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"a\",\"class\":\"m\","
                        + "\"block\":0,\"health\":\"%s\",\"share\":1.0,\"born_ms\":0}",
                name,
                address,
                health);
    }

    private void list(boolean whole, String... hosts) throws Exception {
        push("{\"seq\":" + ++seq + ",\"whole\":" + whole + ",\"extra\":[1.5,null],\"hosts\":[" + String.join(",", hosts)
                + "]}\n");
    }

    // A machine that stands still for long ends a watch that was not meant to end.
    private void push(String text) throws Exception {
        newest();
        if (watch.isClosed()) {
            awaitWatch(watched);
        }
        TrainingServer.write(watch, chunk(text));
    }

    // Cuts every name, number and word of a list, as reads of any size may.
    private void pushByteByByte(String text) throws IOException {
        newest();
        StringBuilder chunks = new StringBuilder();
        for (char c : text.toCharArray()) {
            chunks.append(chunk(String.valueOf(c)));
        }
        TrainingServer.write(watch, chunks.toString());
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    // The only endpoint on the list, so that it is asked.
    private TrainingServer meet(String answer) throws Exception {
        TrainingServer endpoint = new TrainingServer(answer);
        String host = host("e" + seq, endpoint.address(), "ready");
        for (int kind = 0; kind < 3; kind++) {
            endpoint.asked().clear();
            for (int i = 0; i < TRIES && endpoint.asked().isEmpty(); i++) {
                list(true, host);
                ask(request(kind, "0.150"));
            }
        }
        return endpoint;
    }

    private void refused() throws Exception {
        TrainingServer ended = new TrainingServer("");
        ended.close();
        list(true, host("refusing", ended.address(), "ready"));
        for (int i = 0; i < TRIES; i++) {
            ask(request(i % 3, "0.150"));
        }
    }

    private void leave() throws Exception {
        TrainingServer silent = new TrainingServer("");
        for (int i = 0; i < TRIES && silent.asked().isEmpty(); i++) {
            list(true, host("silent", silent.address(), "ready"));
            Socket client = client(request(i % 3, "0.900"));
            silent.asked().poll(PATIENCE_MS / TRIES, TimeUnit.MILLISECONDS);
            client.close();
        }
    }

    private void lists() throws Exception {
        TrainingServer good = meet(ANSWERS.get(0));
        String kept = host("kept", good.address(), "ready");
        push(("{\"seq\":" + ++seq + ",\"whole\":true,\"hosts\":[" + kept + "]}").replace(",", " ,\r\n\t") + "\n");
        pushByteByByte("{\"seq\":" + ++seq + ",\"whole\":true,\"hosts\":[" + kept + "]}\n");
        list(false, host("kept", good.address(), "draining"));
        list(false, host("kept", good.address(), "gone"));
        list(false, kept, host("also", good.address(), "ready"));
        ask(request(0, "0.150"));
        TrainingServer.reset(watch);
        awaitWatch(discovery);
        if (!pushed) {
            // Each further loss would have the module wait longer before it asks again.
            return;
        }
        for (String bad :
                List.of("not json\n", "[1]\n", "{\"seq\":1}\n", "{\"seq\":0,\"whole\":false,\"hosts\":[]}\n")) {
            push(bad);
            awaitWatch(discovery);
        }
        watch.close();
        awaitWatch(discovery);
        TrainingServer.write(watch, "0\r\n\r\n");
        awaitWatch(discovery);
    }

    private void badClients() throws Exception {
        String get = request(0, "1");
        String post = request(1, "1");
        String length = "Content-Length: 3";
        for (String bad : List.of(
                "noise\r\n\r\n",
                get.replace("Request-Id", "Other"),
                get.replace("/api", "/other"),
                get.replace("GET", "POST"),
                get.replace("HTTP/1.1", "HTTP/9.9"),
                get.replace("Request-Timeout: 1", "Request-Timeout: x"),
                get + get,
                get.replace("Host: a", "Host: a\r\nHost: b"),
                get.replace("Host: a", "X: " + "x".repeat(LARGE)),
                "GET /" + "x".repeat(LARGE) + " HTTP/1.1\r\n\r\n",
                "POST /health/ready HTTP/1.1\r\n" + EMPTY,
                post.replace(length, "Content-Length: " + LARGE),
                post.replace(length, "Content-Length: x"),
                post.replace(length, length + "\r\nTransfer-Encoding: chunked"),
                post.replace(length, length + "\r\nExpect: 100-continue"),
                post.replace(length, length + "\r\nExpect: else"),
                post.replace(
                        length + "\r\n\r\nabc",
                        "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(LARGE) + "\r\n" + "x".repeat(LARGE)
                                + "\r\n0\r\n\r\n"))) {
            step(() -> ask(bad));
        }
        client(post.substring(0, post.length() - 1)).close();
        if (pushed) {
            // Takes until the sidecar says that the rest came too late; by then discovery is silent, too.
            ask(post.substring(0, post.length() - 1));
            awaitWatch(discovery);
        }
    }

    private void hangups() throws Exception {
        TrainingServer broken = new TrainingServer("HTTP/1.1 503 Service Unavailable\r\n" + EMPTY);
        TrainingServer moved = new TrainingServer(CHUNKED);
        hangup(broken.address());
        broken.asked().poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
        Files.writeString(file, "{");
        raise();
        TrainingServer refusing = new TrainingServer("");
        refusing.close();
        // Nothing tells when these two have been heard of.
        moved.asked().poll(PATIENCE_MS / TRIES, TimeUnit.MILLISECONDS);
        hangup(refusing.address());
        moved.asked().poll(PATIENCE_MS / TRIES, TimeUnit.MILLISECONDS);
        hangup(moved.address());
        awaitWatch(moved);
    }

    private void hangup(String address) throws Exception {
        configure(address);
        raise();
    }

    private static void raise() throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        signal.getMethod("raise", signal)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"));
    }

    // Clients of each kind that the drain is to find: with a request held, with half of one, and idle.
    private List<Socket> hold() throws Exception {
        List<Socket> held = new ArrayList<>();
        TrainingServer silent = new TrainingServer("");
        for (int i = 0; i < TRIES && silent.asked().isEmpty(); i++) {
            list(true, host("held", silent.address(), "ready"));
            held.add(client(request(1, "60")));
            silent.asked().poll(PATIENCE_MS / TRIES, TimeUnit.MILLISECONDS);
        }
        held.add(client("GET"));
        held.add(client(""));
        Socket idle = client("GET /health/ready HTTP/1.1\r\n\r\n");
        TrainingServer.read(new BufferedInputStream(idle.getInputStream()));
        held.add(idle);
        return held;
    }

    private String request(int kind, String timeout) {
        String name =
                config.get("settings").get("classes").get(kind).get("name").asText();
        return (kind == 0 ? "GET" : "POST") + " /api?obj=k HTTP/1.1\r\nHost: a\r\nRequest-Id: t" + pushed
                + requests++ + "\r\nRequest-Class: " + name + "\r\nRequest-Timeout: " + timeout
                + "\r\nIdempotency-Key: k\r\n"
                + (kind == 0 ? "\r\n" : "Content-Length: 3\r\n\r\nabc");
    }

    private Socket client(String text) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(PATIENCE_MS);
        TrainingServer.write(socket, text);
        return socket;
    }

    private String ask(String text) throws IOException {
        try (Socket socket = client(text)) {
            byte[] in = new byte[LARGE];
            int n = socket.getInputStream().read(in);
            return n < 0 ? "" : new String(in, 0, n, StandardCharsets.ISO_8859_1);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            tell(e);
        }
    }
}
