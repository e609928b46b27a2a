package loadbalancer.lifecycle;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * An endpoint or discovery in the {@link ClassArchiveTraining}: each request gets the same response. It runs in daemon
 * threads until the process ends, as a sidecar may come back to it at any time.
 */
final class TrainingServer {
    /** The head of a response in chunks, for which the server leaves the connection open. */
    static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    /** In place of a response: a reset. */
    static final String RESET = "reset";
    /** In place of a response: an orderly close. */
    static final String CLOSE = "close";
    /** After a head without a length: a body and a reset. */
    static final String THEN_RESET = "\r\nthen reset";
    /** After a head without a length: a body and an orderly close. */
    static final String THEN_CLOSE = "\r\nthen close";

    private static final int ACCEPT_BACKLOG = 50;
    private static final String LENGTH_PREFIX = "content-length:";

    private final ServerSocket listener = new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Socket> answered = new LinkedBlockingQueue<>();
    private final String response;

    /**
     * Starts a server at a free port.
     *
     * @param response the text of its response, or one of this class's constants; if empty, it does not respond
     */
    TrainingServer(String response) throws IOException {
        this.response = response;
        startDaemon(this::accept);
    }

    /** Returns host and port. */
    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Removes and returns the connection of the next answered request; null if none comes in this time. */
    Socket awaitConnection(long maxWaitMillis) throws InterruptedException {
        return answered.poll(maxWaitMillis, TimeUnit.MILLISECONDS);
    }

    /** Removes and returns the connection of the next answered request; null if there is none now. */
    Socket pollConnection() {
        return answered.poll();
    }

    /** Returns whether there is an answered request whose connection was not removed yet. */
    boolean hasConnection() {
        return !answered.isEmpty();
    }

    /** Removes the connections of all answered requests, without closing them. */
    void discardConnections() {
        answered.clear();
    }

    /** Refuses connections from now on. */
    void stopListening() throws IOException {
        listener.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                startDaemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server stopped listening.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (read(input)) {
                respond(socket);
                // Not earlier: what is sent on a watch must follow the head of its response.
                answered.add(socket);
            }
        } catch (IOException e) {
            // The other side closed the connection, or the response was to break it.
        }
    }

    private void respond(Socket socket) throws IOException {
        switch (response) {
            case RESET -> reset(socket);
            case CLOSE -> socket.close();
            default -> write(socket, response);
        }
        if (response.endsWith(THEN_CLOSE)) {
            socket.close();
        } else if (response.endsWith(THEN_RESET)) {
            reset(socket);
        }
    }

    /** Sends this text. */
    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Ends a connection by a reset. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Reads one message with its body; returns false at the end of the stream. */
    static boolean read(InputStream input) throws IOException {
        int bodyLength = 0;
        for (String line = readLine(input); line != null; line = readLine(input)) {
            if (line.isEmpty()) {
                input.skipNBytes(bodyLength);
                return true;
            }
            if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH_PREFIX)) {
                bodyLength =
                        Integer.parseInt(line.substring(LENGTH_PREFIX.length()).trim());
            }
        }
        return false;
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = input.read(); character != '\n'; character = input.read()) {
            if (character < 0) {
                return null;
            }
            if (character != '\r') {
                line.append((char) character);
            }
        }
        return line.toString();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
