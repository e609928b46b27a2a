import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A connection of the application to its sidecar: one request at a time. */
final class Client implements AutoCloseable {
    /** What came back. */
    static final class Answer {
        int status;
        String head = "";
        byte[] body = new byte[0];
        boolean close;

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private static final AtomicLong NUMBERS = new AtomicLong(System.nanoTime());

    final Socket socket = new Socket();
    private final InputStream input;

    Client(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(Rig.SIDECARS, port), 2000);
        input = socket.getInputStream();
    }

    static String newId() {
        return String.format("%016x", NUMBERS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** A request of a class that is safe to repeat. */
    static String get(String id, String requestClass, double timeoutSeconds) {
        return "GET /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + id + "\r\nRequest-Class: " + requestClass
                + "\r\nTenant: rantamuseo\r\nRequest-Timeout: " + timeoutSeconds + "\r\n\r\n";
    }

    /** A request of a class with a key, or of one that must not be repeated if the key is null. */
    static String post(String id, String requestClass, double timeoutSeconds, String key, String body) {
        return "POST /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + id + "\r\nRequest-Class: " + requestClass
                + "\r\nTenant: rantamuseo\r\nRequest-Timeout: " + timeoutSeconds + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads one whole answer. */
    Answer answer(int waitMillis) throws IOException {
        long end = System.nanoTime() + waitMillis * 1_000_000L;
        Answer answer = new Answer();
        do {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) read(end));
            }
            answer.head = head.toString();
            answer.status = Integer.parseInt(answer.head.substring(9, 12));
        } while (answer.status / 100 == 1);
        String lower = answer.head.toLowerCase(java.util.Locale.ROOT);
        answer.close = lower.contains("connection: close");
        int at = lower.indexOf("content-length:");
        int length = at < 0 ? 0 : Integer.parseInt(lower.substring(at + 15, lower.indexOf('\r', at)).trim());
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (body.size() < length) {
            body.write(read(end));
        }
        answer.body = body.toByteArray();
        return answer;
    }

    private int read(long endNanos) throws IOException {
        long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
        if (leftMillis <= 0) {
            throw new SocketTimeoutException("no whole answer");
        }
        socket.setSoTimeout((int) leftMillis);
        int value = buffered();
        if (value < 0) {
            throw new EOFException("the connection ended");
        }
        return value;
    }

    private final byte[] buffer = new byte[16384];
    private int from;
    private int to;

    private int buffered() throws IOException {
        if (from == to) {
            from = 0;
            to = Math.max(0, input.read(buffer));
            if (to == 0) {
                return -1;
            }
        }
        return buffer[from++] & 0xff;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
