package loadbalancer.testing;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A small HTTP server on loopback, as an endpoint or as discovery, that does what a script says. */
public final class FakeServer implements AutoCloseable {
    /** The head of a response in chunks, such as a watch. */
    public static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** The end of a response in chunks. */
    public static final String LAST_CHUNK = "0\r\n\r\n";

    /** How long a test waits for something that must happen, in seconds. */
    public static final int TIMEOUT_SECONDS = 20;

    /** A connection beyond it comes up only when the system tries again, seconds later. */
    private static final int BACKLOG = 1024;

    private static final int FIRST_RESERVED_PORT = 20_000;
    private static final int RESERVED_PORTS = 10_000;
    /** Begins elsewhere in each process, since several may run tests at once. */
    private static final AtomicInteger NEXT_RESERVED_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 100 % RESERVED_PORTS));

    /** Returns the bytes of one chunk with this text, as a body in chunks has them. */
    public static String chunk(String text) {
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
    }

    /** What came in, read whole. */
    public record Request(String line, Map<String, String> headers, byte[] body) {
        private static final String DISCOVERY_PATH = "/registry/instances";

        // Calls to discovery carry no identifier.
        private boolean isOfThisProcess() {
            return line.contains(DISCOVERY_PATH) || SentRequests.contains(headers.get("request-id"));
        }
    }

    /** A connection that the script may answer on, leave silent or break. */
    public record Connection(Socket socket) {
        /** Writes this text as it is. */
        public void text(String raw) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(raw.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** One chunk of an answer in chunks. */
        public void chunk(String content) throws IOException {
            text(FakeServer.chunk(content));
        }

        /** Writes a response with this status, further headers and body. */
        public void answer(String status, String headers, String body) throws IOException {
            text("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n" + headers + "\r\n" + body);
        }

        /** Writes a response that succeeded. */
        public void ok(String body) throws IOException {
            answer("200 OK", "", body);
        }

        /** Breaks the connection with a reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** What the server does with each request. */
    public interface Script {
        /** Handles one request, on a thread of the connection. */
        void on(Request request, Connection wire) throws IOException;
    }

    /** All requests that arrived, in their order. */
    public final List<Request> requests = new CopyOnWriteArrayList<>();

    private final BlockingQueue<Request> arrived = new LinkedBlockingQueue<>();
    private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
    private final BlockingQueue<Socket> ended = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;
    private volatile Script script;

    /** A server at a free port. */
    public FakeServer(Script script) throws IOException {
        this(InetAddress.getLoopbackAddress(), 0, script);
    }

    /** A server at this address and port, which are free. */
    public FakeServer(InetAddress at, int port, Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(port, BACKLOG, at);
        daemon(this::accept);
    }

    /**
     * An address where nothing listens. Its port lies below those that the system hands out by itself: another process
     * that asks for any free port must not get it before the one that it is meant for.
     */
    public static String refusing() throws IOException {
        for (int i = 0; i < RESERVED_PORTS; i++) {
            int port = FIRST_RESERVED_PORT + NEXT_RESERVED_PORT.getAndIncrement() % RESERVED_PORTS;
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return "127.0.0.1:" + s.getLocalPort();
            } catch (BindException inUse) {
                // The next one may be free.
            }
        }
        throw new IOException("no free port below those of the system");
    }

    /** Changes what the server does with requests from now on. */
    public void script(Script next) {
        script = next;
    }

    /** Its address and port. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Its port. */
    public int port() {
        return listener.getLocalPort();
    }

    /** How many connections it has accepted so far. */
    public int connections() {
        return sockets.size();
    }

    /** Waits for the next request. */
    public Request awaitRequest() throws InterruptedException {
        Request r = arrived.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (r == null) {
            throw new AssertionError("no request came");
        }
        return r;
    }

    /** Waits until a connection has come up. */
    public void awaitConnection() throws InterruptedException {
        if (accepted.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS) == null) {
            throw new AssertionError("no connection came up");
        }
    }

    /** Waits until the other side has closed a connection. */
    public void awaitClose() throws InterruptedException {
        if (ended.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS) == null) {
            throw new AssertionError("no connection was closed");
        }
    }

    private static void daemon(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket s = listener.accept();
                sockets.add(s);
                accepted.add(s);
                daemon(() -> serve(s));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request r = read(in); r != null; r = read(in)) {
                play(r, new Connection(socket));
            }
        } catch (IOException e) {
            // broken by the script or by the other side
        }
        ended.add(socket);
    }

    private void play(Request request, Connection wire) throws IOException {
        if (!request.isOfThisProcess()) {
            wire.answer("404 Not Found", "", "");
            return;
        }
        requests.add(request);
        arrived.add(request);
        script.on(request, wire);
    }

    private static Request read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String h = line(in); h == null || !h.isEmpty(); h = line(in)) {
            if (h == null) {
                return null;
            }
            int colon = h.indexOf(':');
            headers.put(
                    h.substring(0, colon).toLowerCase(Locale.ROOT),
                    h.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        // A request that is cut short was never asked.
        return body.length < length ? null : new Request(line, headers, body);
    }

    /** Reads one line, without its end; null at the end of the stream. */
    public static String line(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                b.append((char) c);
            }
        }
        return b.toString();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket s : sockets) {
            s.close();
        }
    }
}
