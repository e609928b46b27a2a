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

/** Stands in for an endpoint or for discovery in {@link ClassArchiveTraining}: each request gets its one answer. */
final class TrainingServer {
    /** No answer but a reset. */
    static final String RESET = "reset";
    /** No answer but an orderly close. */
    static final String CLOSE = "close";
    /** Behind a head with no length: a body and a reset. */
    static final String THEN_RESET = "\r\nthen reset";
    /** Behind a head with no length: a body and an orderly close. */
    static final String THEN_CLOSE = "\r\nthen close";

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Socket> asked = new LinkedBlockingQueue<>();
    private final String answer;

    /** A server at a free port. */
    TrainingServer(String answer) throws IOException {
        this.answer = answer;
        daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** The connections that requests came on, once each request has been answered. */
    BlockingQueue<Socket> asked() {
        return asked;
    }

    /** Refuses connections from now on. */
    void close() throws IOException {
        listener.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // the end
        }
    }

    private void answer(Socket socket) throws IOException {
        switch (answer) {
            case RESET -> reset(socket);
            case CLOSE -> socket.close();
            default -> write(socket, answer);
        }
        if (answer.endsWith(THEN_CLOSE)) {
            socket.close();
        } else if (answer.endsWith(THEN_RESET)) {
            reset(socket);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (read(in)) {
                answer(socket);
                // Not before: what is pushed on a watch follows the head of its answer.
                asked.add(socket);
            }
        } catch (IOException e) {
            // the other side has gone, or was to be
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

    /** Reads one message with its body; false at the end. */
    static boolean read(InputStream in) throws IOException {
        int length = 0;
        for (String line = line(in); line != null; line = line(in)) {
            if (line.isEmpty()) {
                in.skipNBytes(length);
                return true;
            }
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        return false;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
