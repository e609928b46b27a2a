package loadbalancer.downstream;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import loadbalancer.testing.TestClient;

/** Opens connections to a sidecar for as long as it runs, and new ones for those that were closed. */
final class ConnectionFlood extends Thread {
    private static final String HALF_REQUEST = "GET /api HTTP/1.1\r\nRequest-Id: half\r\n";

    private final ArrayDeque<TestClient> clients = new ArrayDeque<>();
    private final int port;
    private final int maxConnections;
    private final String behaviour;

    /**
     * A flood that has begun.
     *
     * @param behaviour {@code open} if clients send a request, {@code half} if half of one, else they are silent
     */
    ConnectionFlood(int port, int maxConnections, String behaviour) {
        this.port = port;
        this.maxConnections = maxConnections;
        this.behaviour = behaviour;
        setDaemon(true);
        start();
    }

    @Override
    public void run() {
        while (!isInterrupted()) {
            try {
                TestClient client = new TestClient(port);
                clients.add(client);
                client.send(firstBytes());
                Thread.sleep(1);
            } catch (IOException e) {
                // closed unread
            } catch (InterruptedException e) {
                interrupt();
            }
            if (clients.size() > maxConnections) {
                close(clients.poll());
            }
        }
    }

    private String firstBytes() {
        return switch (behaviour) {
            case "open" -> TestClient.submit("50");
            case "half" -> HALF_REQUEST;
            default -> "";
        };
    }

    private static void close(TestClient client) {
        try {
            client.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Ends the flood and closes its connections. */
    void end() throws InterruptedException {
        interrupt();
        join();
        clients.forEach(ConnectionFlood::close);
        clients.clear();
    }
}
