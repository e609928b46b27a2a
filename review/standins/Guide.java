import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A guide server: HTTP/1.1, one request at a time on a connection, each answered by a handler. */
final class Guide implements AutoCloseable {
    /** A request that has arrived whole. */
    static final class Request {
        String head;
        String body;
        String id;
        /** When its first and its last byte were read, in seconds of the rig. */
        double first;

        double last;

        String header(String name) {
            int at = head.toLowerCase(Locale.ROOT).indexOf("\r\n" + name.toLowerCase(Locale.ROOT) + ":");
            return at < 0 ? null : head.substring(head.indexOf(':', at) + 1, head.indexOf("\r\n", at + 2)).trim();
        }
    }

    /** Answers a request on its connection. */
    interface Handler {
        void handle(Guide guide, Request request, Socket socket) throws Exception;
    }

    final String host;
    private final Rig rig;
    private final ServerSocket server;
    private volatile Handler handler;

    /** A guide server that listens on a free port. */
    Guide(Rig rig, String host, Handler handler) throws IOException {
        this(rig, host, handler, new ServerSocket());
        server.bind(new InetSocketAddress(InetAddress.getByName(Rig.STANDINS), 0), 256);
        Thread acceptor = new Thread(this::accept, host);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** A guide server whose connections are accepted elsewhere. */
    Guide(Rig rig, String host, Handler handler, ServerSocket server) {
        this.rig = rig;
        this.host = host;
        this.handler = handler;
        this.server = server;
    }

    int port() {
        return server.getLocalPort();
    }

    void handler(Handler next) {
        handler = next;
    }

    /** The answer made for a request: it names the request. */
    static String bodyFor(String id) {
        return "answer for " + id + ": stop 12, second floor, left of the stairs.";
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** A sound answer. */
    static String ok(String id) {
        String body = bodyFor(id);
        return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                serveConnection(server.accept());
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Serves a connection in a thread of its own. */
    void serveConnection(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        Thread thread = new Thread(() -> serve(socket), host + "-connection");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Request request = read(input);
                if (request == null) {
                    return;
                }
                rig.record("run: " + request.id + " has arrived whole at " + host);
                handler.handle(this, request, socket);
            }
        } catch (Exception e) {
            // The connection has ended.
        }
    }

    private Request read(InputStream input) throws IOException {
        Request request = new Request();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int value = input.read();
            if (value < 0) {
                return null;
            }
            if (head.size() == 0) {
                request.first = rig.seconds();
            }
            head.write(value);
            matched = value == "\r\n\r\n".charAt(matched) ? matched + 1 : value == '\r' ? 1 : 0;
        }
        request.head = head.toString(StandardCharsets.ISO_8859_1);
        request.id = request.header("Request-Id");
        String length = request.header("Content-Length");
        byte[] body = input.readNBytes(length == null ? 0 : Integer.parseInt(length));
        request.body = new String(body, StandardCharsets.ISO_8859_1);
        request.last = rig.seconds();
        return request;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
