package loadbalancer.lifecycle;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The application of the {@link ClassArchiveTraining}: opens connections to the sidecar and sends requests. */
final class TrainingClient {
    /** A request for the sidecar's readiness. */
    static final String READINESS_CHECK = "GET /health/ready HTTP/1.1\r\n\r\n";
    /** The length of a request's body as its header gives it. */
    static final String BODY_LENGTH = "Content-Length: 3";
    /** The body of a request, after the end of its headers. */
    static final String BODY = "\r\n\r\nabc";

    private static final int MAX_RESPONSE_BYTES = 90_000;

    private final int port;
    private final String idPrefix;
    private int requests;

    /**
     * Makes a client that is not connected yet.
     *
     * @param port the sidecar's port
     * @param idPrefix what all its request ids begin with
     */
    TrainingClient(int port, String idPrefix) {
        this.port = port;
        this.idPrefix = idPrefix;
    }

    /** Returns the text of a new request of this class, with a timeout in seconds. */
    String request(TrainingRequestClass requestClass, String timeoutSeconds) {
        boolean idempotent = requestClass == TrainingRequestClass.IDEMPOTENT;
        return (idempotent ? "GET" : "POST") + " /api?obj=k HTTP/1.1\r\nHost: a\r\nRequest-Id: " + idPrefix
                + requests++ + "\r\nRequest-Class: " + requestClass.key() + "\r\nRequest-Timeout: " + timeoutSeconds
                + "\r\nIdempotency-Key: k\r\n"
                + (idempotent ? "\r\n" : BODY_LENGTH + BODY);
    }

    /** Opens a connection and sends this text on it. */
    Socket open(String text) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(TrainingStep.MAX_WAIT_MILLIS);
        TrainingServer.write(socket, text);
        return socket;
    }

    /** Sends this text on a new connection and returns what a first read yields, empty at the connection's end. */
    String exchange(String text) throws IOException {
        try (Socket socket = open(text)) {
            byte[] buffer = new byte[MAX_RESPONSE_BYTES];
            int length = socket.getInputStream().read(buffer);
            return length < 0 ? "" : new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
        }
    }
}
