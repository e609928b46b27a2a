import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Stand-ins for clients, endpoints, discovery and the platform, and the sidecar as a process of its own. */
final class Kit {
    private static final long START_NANOS = System.nanoTime();
    private static final double MAX_RUN_MILLIS = 110_000;
    /** Unlike any code with which a JVM ends by itself. */
    private static final int BROKEN = 10;

    private Kit() {}

    /** The disruption is left out. */
    static boolean calm() {
        return "0".equals(System.getenv("TROUBLE"));
    }

    /** Milliseconds since the start of the case, on the monotonic clock. */
    static double now() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    static void sleep(double millis) {
        try {
            if (millis > 0) {
                TimeUnit.MICROSECONDS.sleep((long) (millis * 1000));
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleepUntil(double millis) {
        sleep(millis - now());
    }

    static Thread background(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The case could not run. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    // ---------------------------------------------------------------- record

    private static PrintWriter record;

    static void openRecord() {
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getenv("CASE_FOLDER"), "record.txt")));
        } catch (IOException e) {
            throw new CannotRun("no record: " + e);
        }
    }

    static void note(String line) {
        synchronized (Kit.class) {
            record.printf(Locale.ROOT, "%9.1f %s%n", now(), line);
            record.flush();
        }
    }

    /** Runs a case: exit code 0 if the rule held, 10 if it was broken, 2 if the case could not run. */
    static void run(Case body) {
        int code = 2;
        Runtime.getRuntime().addShutdownHook(new Thread(Sidecar::endAll));
        background("time limit", () -> {
            sleep(MAX_RUN_MILLIS);
            System.err.println("the case takes too long");
            Sidecar.endAll();
            Runtime.getRuntime().halt(2);
        });
        try {
            openRecord();
            note(calm() ? "run without the disruption" : "run with the disruption");
            String broken = body.run();
            if (broken == null) {
                Sidecar.requireAllAlive();
            }
            code = broken == null ? 0 : BROKEN;
            note(broken == null ? "the rule held" : "THE RULE WAS BROKEN: " + broken);
        } catch (Throwable e) {
            if (record != null) {
                note("the case could not run: " + e);
            }
            e.printStackTrace();
        } finally {
            Sidecar.endAll();
        }
        Runtime.getRuntime().halt(code);
    }

    interface Case {
        /** Returns what was broken, or null. */
        String run() throws Exception;
    }

    // ---------------------------------------------------------------- sidecar

    /** The program as the deploy file starts it. */
    static final class Sidecar {
        private static final List<Sidecar> ALL = new CopyOnWriteArrayList<>();
        final String name;
        final int port;
        final Path folder;
        final Path configFile;
        Process process;
        /** True once the platform has ended the process. */
        private boolean told;

        Sidecar(String name) throws IOException {
            this.name = name;
            this.port = freePort();
            this.folder = Files.createTempDirectory("review-" + name + "-");
            this.configFile = folder.resolve("config.json");
            ALL.add(this);
        }

        void writeConfig(String json) throws IOException {
            Path next = folder.resolve("config.next");
            Files.writeString(next, json);
            Files.move(next, configFile, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void start() throws IOException {
            Path tmp = Files.createTempDirectory(folder, "tmp");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.directory(Path.of(System.getenv("REPO_ROOT")).toFile());
            builder.environment().put("PROXY_NAME", name);
            builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("PROXY_CONFIG", configFile.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            Path log = folder.resolve("log.txt");
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            told = false;
            note("sidecar " + name + " started");
        }

        private static String runCommand() throws IOException {
            for (String line : Files.readAllLines(Path.of(System.getenv("REPO_ROOT"), "deploy", "balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                    return text.replace("\\\"", "\"").replace("\\\\", "\\");
                }
            }
            throw new CannotRun("no command run in the deploy file");
        }

        void awaitReady(double maxMillis) {
            double end = now() + maxMillis;
            while (now() < end) {
                if (!process.isAlive()) {
                    throw new CannotRun("sidecar " + name + " ended: " + logText());
                }
                try (Client client = new Client(port)) {
                    client.send("GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
                    if (client.read(1000).status == 200) {
                        note("sidecar " + name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                sleep(20);
            }
            throw new CannotRun("sidecar " + name + " was not ready: " + logText());
        }

        void signal(String signal) throws IOException, InterruptedException {
            note("SIG" + signal + " to sidecar " + name);
            told |= signal.equals("TERM");
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        void kill() throws InterruptedException {
            note("SIGKILL to sidecar " + name);
            told = true;
            process.destroyForcibly().waitFor();
        }

        /** A run in which a process has ended by itself shows nothing of the rule. */
        static void requireAllAlive() {
            for (Sidecar sidecar : ALL) {
                if (!sidecar.told && !sidecar.process.isAlive()) {
                    throw new CannotRun("sidecar " + sidecar.name + " ended by itself");
                }
            }
        }

        String logText() {
            try {
                return Files.readString(folder.resolve("log.txt"));
            } catch (IOException e) {
                return "no log";
            }
        }

        static synchronized void endAll() {
            for (Sidecar sidecar : ALL) {
                if (sidecar.process != null) {
                    sidecar.process.destroyForcibly();
                    try {
                        sidecar.process.waitFor();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    for (String line : sidecar.logText().split("\n")) {
                        if (record != null) {
                            note("log of sidecar " + sidecar.name + ": " + line);
                        }
                    }
                }
                try (Stream<Path> files = Files.walk(sidecar.folder)) {
                    files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
                } catch (IOException e) {
                    // Left in the temporary folder.
                }
            }
        }
    }

    /**
     * Returns a port that nobody uses and that the system gives to no outgoing connection, so that it is still free
     * when its server comes back.
     */
    static int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Another one, then.
            }
        }
        throw new CannotRun("no free port");
    }

    // ---------------------------------------------------------------- HTTP

    /** A message, as it was read. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        int status;
        double firstByteAt;
        double lastByteAt;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads one message with a Content-Length, chunks or no body; null at an end before its first byte. */
    static Message readMessage(InputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        Message message = new Message();
        message.firstByteAt = now();
        message.start = (char) first + line(in);
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon).trim(), header.substring(colon + 1).trim());
        }
        if (message.start.startsWith("HTTP/")) {
            message.status = Integer.parseInt(message.start.split(" ")[1]);
        }
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(in.readNBytes(size));
                line(in);
            }
            line(in);
            message.body = body.toByteArray();
        } else if (!message.header("Content-Length").isEmpty()) {
            int length = Integer.parseInt(message.header("Content-Length"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) {
                throw new EOFException("the body is cut off");
            }
        }
        message.lastByteAt = now();
        return message;
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].trim(), 16);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the message is cut off");
            }
            text.append((char) c);
        }
        return text.toString().stripTrailing();
    }

    /** A connection of the application to its sidecar. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        private final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket();
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Reads one answer. */
        Message read(int maxMillis) throws IOException {
            socket.setSoTimeout(maxMillis);
            Message answer = readMessage(in);
            if (answer == null) {
                throw new EOFException("closed without an answer");
            }
            return answer;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    // ---------------------------------------------------------------- endpoints

    /** A request that has arrived at an endpoint. */
    static final class Arrival {
        final EndpointServer server;
        final Message message;
        final OutputStream out;
        final Socket socket;

        Arrival(EndpointServer server, Message message, OutputStream out, Socket socket) {
            this.server = server;
            this.message = message;
            this.out = out;
            this.socket = socket;
        }

        String id() {
            return message.header("Request-Id");
        }

        void answer(int status, String body) throws IOException {
            answer(status, body, "");
        }

        void answer(int status, String body, String headers) throws IOException {
            String head = "HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length() + "\r\n" + headers + "\r\n";
            out.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    interface Handler {
        void handle(Arrival arrival) throws IOException, InterruptedException;
    }

    /** An endpoint: records every request and handles it in its connection's thread. */
    static final class EndpointServer {
        final String host;
        final ServerSocket listener;
        final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        volatile Handler handler;

        EndpointServer(String host, Handler handler) throws IOException {
            this.host = host;
            this.handler = handler;
            this.listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
            background("endpoint " + host, this::accept);
        }

        String dial() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    background("connection of " + host, () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = new BufferedOutputStream(socket.getOutputStream());
                for (Message message = readMessage(in); message != null; message = readMessage(in)) {
                    Arrival arrival = new Arrival(this, message, out, socket);
                    arrivals.add(arrival);
                    handler.handle(arrival);
                }
            } catch (IOException | InterruptedException e) {
                // The sidecar has closed the connection.
            }
        }

        /** The first request that began after this time, or null. */
        Arrival firstAfter(double millis) {
            for (Arrival arrival : arrivals) {
                if (arrival.message.firstByteAt > millis) {
                    return arrival;
                }
            }
            return null;
        }

        long countAfter(double millis) {
            return arrivals.stream().filter(a -> a.message.firstByteAt > millis).count();
        }
    }

    // ---------------------------------------------------------------- discovery

    /** An entry of the list. */
    static String entry(String host, String dial, String site, int block, String health, long bornMillis) {
        return "{\"host\":\"" + host + "\",\"dial\":\"" + dial + "\",\"site\":\"" + site
                + "\",\"class\":\"gen2\",\"block\":" + block + ",\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":" + bornMillis + "}";
    }

    static String list(long seq, boolean whole, Iterable<String> entries) {
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", entries) + "]}";
    }

    /** The discovery service, or the agent that pushes lists. */
    static final class Discovery {
        /** Kept from the collector, which would close them. */
        private static final List<Socket> LOST_CALLS = new CopyOnWriteArrayList<>();

        private final Map<String, String> entries = new LinkedHashMap<>();
        private final TreeMap<Long, List<String>> changes = new TreeMap<>();
        private final List<Watch> watches = new CopyOnWriteArrayList<>();
        private final int port;
        private ServerSocket listener;
        private long seq;
        private volatile boolean cut;
        /** When the last call began. */
        volatile double lastCallAt;
        /** When the last empty line was written. */
        volatile double lastEmptyLineAt;
        /** The form in which lists are written. */
        volatile java.util.function.UnaryOperator<String> form = list -> list;
        /** How long a call waits before it is answered. */
        volatile double answerDelayMillis;
        /** When the change of this version was first written to a sidecar. */
        final Map<Long, Double> toldAt = new java.util.concurrent.ConcurrentHashMap<>();

        Discovery() throws IOException {
            port = freePort();
            listener = new ServerSocket(port, 512, InetAddress.getLoopbackAddress());
            ServerSocket first = listener;
            background("discovery", () -> accept(first));
            background("empty lines", this::writeEmptyLines);
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        /** Applies a change and writes it to all open watches. */
        synchronized long change(Map<String, String> changed) {
            seq++;
            List<String> texts = new ArrayList<>(changed.values());
            changed.forEach((host, text) -> {
                if (text.contains("\"health\":\"gone\"")) {
                    entries.remove(host);
                } else {
                    entries.put(host, text);
                }
            });
            changes.put(seq, texts);
            for (Watch watch : watches) {
                watch.write(list(seq, false, texts) + "\n");
                toldAt.putIfAbsent(seq, now());
            }
            return seq;
        }

        /** Nothing gets through any more: open watches fall silent for good, and calls that begin never come up. */
        synchronized void cut() {
            note("the cut begins");
            cut = true;
            watches.clear();
        }

        synchronized void heal() {
            note("the cut is over");
            cut = false;
        }

        /** Ends all open watches by a reset. */
        synchronized void resetWatches() {
            note("all watches are reset");
            for (Watch watch : watches) {
                watch.reset();
            }
            watches.clear();
        }

        synchronized String wholeList() {
            return list(seq, true, entries.values());
        }

        /** Goes down: open connections are reset and new ones are refused. */
        synchronized void goDown() throws IOException {
            note("discovery goes down");
            listener.close();
            for (Watch watch : watches) {
                watch.reset();
            }
            watches.clear();
        }

        synchronized void comeBack() throws IOException {
            note("discovery is back");
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
            ServerSocket again = listener;
            background("discovery", () -> accept(again));
        }

        private void accept(ServerSocket socket) {
            while (true) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    lastCallAt = now();
                    if (cut) {
                        note("a call begins that never comes up");
                        LOST_CALLS.add(connection);
                    } else {
                        background("call", () -> call(connection));
                    }
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void call(Socket connection) {
            try {
                Message request = readMessage(new BufferedInputStream(connection.getInputStream()));
                if (request == null) {
                    connection.close();
                    return;
                }
                String target = request.start.split(" ")[1];
                note("call to discovery: " + target);
                sleep(answerDelayMillis);
                int at = target.indexOf("after=");
                Long after = at < 0 ? null : Long.valueOf(target.substring(at + 6).split("&")[0]);
                answer(new Watch(connection), after);
            } catch (IOException e) {
                // The sidecar has closed the call.
            }
        }

        private synchronized void answer(Watch watch, Long after) throws IOException {
            if (listener.isClosed()) {
                watch.reset();
                return;
            }
            watch.begin();
            if (after == null || after > seq || after < seq && !changes.containsKey(after + 1)) {
                watch.write(form.apply(wholeList()) + "\n");
            } else {
                Map<String, String> latest = new LinkedHashMap<>();
                for (List<String> texts : changes.tailMap(after, false).values()) {
                    for (String text : texts) {
                        latest.put(text.split("\"")[3], text);
                    }
                }
                watch.write(list(seq, false, latest.values()) + "\n");
            }
            note("discovery has written its list of version " + seq);
            toldAt.putIfAbsent(seq, now());
            watches.add(watch);
        }

        private void writeEmptyLines() {
            while (true) {
                sleep(2000);
                lastEmptyLineAt = now();
                for (Watch watch : watches) {
                    watch.write("\n");
                }
            }
        }
    }

    private static final class Watch {
        private final Socket socket;

        Watch(Socket socket) {
            this.socket = socket;
        }

        void begin() throws IOException {
            socket.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
        }

        synchronized void write(String text) {
            try {
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                ByteArrayOutputStream chunk = new ByteArrayOutputStream();
                chunk.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                chunk.write(bytes);
                chunk.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().write(chunk.toByteArray());
            } catch (IOException e) {
                // The sidecar has closed the watch.
            }
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    // ---------------------------------------------------------------- configuration

    /** A class of requests in the settings. */
    static String requestClass(
            String name, String effect, String group, double sloMillis, double deadlineMillis, double windowMillis) {
        return String.format(
                Locale.ROOT,
                "{\"name\":\"%s\",\"effect\":\"%s\",\"group\":\"%s\",\"slo\":%.0f,\"deadline\":%.0f,"
                        + "\"window\":%.0f,\"value\":1,\"late_worth\":0,\"stream\":false}",
                name,
                effect,
                group,
                sloMillis,
                deadlineMillis,
                windowMillis);
    }

    /** The usual settings, with these classes; discovery is "push" or "ask". */
    static String settings(String discovery, int sidecars, int ordinal, String... classes) {
        return "{\"classes\":[" + String.join(",", classes) + "],"
                + "\"clients\":{\"marks_retry\":true},"
                + "\"limits\":{\"attempts_cap\":4,\"may_duplicate\":true,\"cancel\":true,\"probes\":false,"
                + "\"peers\":false,\"retry_after\":true,\"max_retry_after\":2000,\"connect_timeout\":250,"
                + "\"conn_idle\":60000,\"max_streams\":1},"
                + "\"obligations\":{\"answer_slack\":20,\"drain_grace\":500,\"fall_multiple\":4,\"overload_for\":2000,"
                + "\"cold_share\":0.33,\"cold\":8900,\"ask_within\":10000},"
                + "\"discovery\":\"" + discovery + "\",\"reporting\":{\"how\":\"off\",\"fields\":[]},"
                + "\"failure_domains\":[\"hki-1\",\"oulu-1\"],\"zone\":\"hki-1\",\"tenants\":[],"
                + "\"over_share_worth\":0.1,\"peers_total\":" + sidecars + ",\"ordinal\":" + ordinal + "}";
    }

    static String config(Sidecar sidecar, String discovery, String known, String settings) {
        return "{\"name\":\"" + sidecar.name + "\",\"listen\":\"127.0.0.1:" + sidecar.port + "\",\"discovery\":\""
                + discovery + "\",\"seed\":\"" + Long.toHexString(System.nanoTime() | 1)
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
                + ",\"settings\":" + settings + "}";
    }

    static String get(String id, String requestClass, double timeoutSeconds) {
        return String.format(
                Locale.ROOT,
                "GET /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"
                        + "Request-Timeout: %.3f\r\n\r\n",
                id,
                requestClass,
                timeoutSeconds);
    }

    static String post(String id, String requestClass, double timeoutSeconds, String key, String body) {
        return String.format(
                        Locale.ROOT,
                        "POST /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"
                                + "Request-Timeout: %.3f\r\n",
                        id,
                        requestClass,
                        timeoutSeconds)
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static long ids;

    static synchronized String newId(String prefix) {
        return prefix + String.format("%08x", ++ids);
    }

    /** What a client saw of one request. */
    static final class Result {
        String id;
        double sentAt;
        double endedAt;
        /** 0 if there was no answer. */
        int status;
        String text = "";
        String failure = "";
    }

    /** A client that sends one request after another at this pace until its end, on a connection that it keeps. */
    static Thread paced(
            int port,
            double untilMillis,
            double intervalMillis,
            String requestClass,
            double timeoutSeconds,
            List<Result> results) {
        return background("client", () -> {
            Client client = null;
            while (now() < untilMillis) {
                double next = now() + intervalMillis;
                Result result = new Result();
                result.id = newId("r");
                result.sentAt = now();
                try {
                    if (client == null) {
                        client = new Client(port);
                    }
                    client.send(get(result.id, requestClass, timeoutSeconds));
                    Message answer = client.read((int) (timeoutSeconds * 1000) + 1000);
                    result.status = answer.status;
                    result.text = answer.text();
                    if (answer.header("Connection").equalsIgnoreCase("close")) {
                        client.close();
                        client = null;
                    }
                } catch (IOException e) {
                    result.failure = e.toString();
                    if (client != null) {
                        client.close();
                    }
                    client = null;
                }
                result.endedAt = now();
                results.add(result);
                sleepUntil(next);
            }
            if (client != null) {
                client.close();
            }
        });
    }
}
