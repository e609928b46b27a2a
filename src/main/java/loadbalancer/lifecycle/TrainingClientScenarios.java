package loadbalancer.lifecycle;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** The clients of the {@link ClassArchiveTraining}: invalid requests, and connections that a shutdown finds open. */
final class TrainingClientScenarios {
    private static final int LARGE = 90_000;

    private final TrainingConfiguration configuration;
    private final TrainingDiscovery discovery;
    private final TrainingClient client;

    /** Makes scenarios for the sidecar of this configuration, which uses this discovery and serves this client. */
    TrainingClientScenarios(TrainingConfiguration configuration, TrainingDiscovery discovery, TrainingClient client) {
        this.configuration = configuration;
        this.discovery = discovery;
        this.client = client;
    }

    /** Sends one request of each kind that the sidecar rejects, and incomplete ones. */
    void sendInvalidRequests() throws IOException, InterruptedException {
        String get = client.request(TrainingRequestClass.IDEMPOTENT, "1");
        String post = client.request(TrainingRequestClass.AT_MOST_ONCE, "1");
        for (String request : invalidHeads(get)) {
            TrainingStep.attempt(() -> client.exchange(request));
        }
        for (String request : invalidBodies(post)) {
            TrainingStep.attempt(() -> client.exchange(request));
        }
        String incomplete = post.substring(0, post.length() - 1);
        client.open(incomplete).close();
        if (configuration.pushed()) {
            // Lasts until the sidecar answers that the rest came too late; by then the watch has been silent too long.
            client.exchange(incomplete);
            discovery.awaitWatch();
        }
    }

    private static List<String> invalidHeads(String get) {
        return List.of(
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
                "POST /health/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    }

    private static List<String> invalidBodies(String post) {
        String length = TrainingClient.BODY_LENGTH;
        String largeChunk = Integer.toHexString(LARGE) + "\r\n" + "x".repeat(LARGE) + "\r\n0\r\n\r\n";
        return List.of(
                post.replace(length, "Content-Length: " + LARGE),
                post.replace(length, "Content-Length: x"),
                post.replace(length, length + "\r\nTransfer-Encoding: chunked"),
                post.replace(length, length + "\r\nExpect: 100-continue"),
                post.replace(length, length + "\r\nExpect: else"),
                post.replace(length + TrainingClient.BODY, "Transfer-Encoding: chunked\r\n\r\n" + largeChunk));
    }

    /**
     * Opens connections of each kind that a graceful shutdown may find: with requests in flight, with an incomplete
     * request, without any, and idle after a request.
     *
     * @return the open connections
     */
    List<Socket> openForShutdown() throws IOException, InterruptedException {
        List<Socket> open = new ArrayList<>();
        TrainingServer silent = new TrainingServer("");
        boolean reached = false;
        for (int i = 0; i < TrainingStep.MAX_TRIES && !silent.hasConnection(); i++) {
            discovery.sendSnapshot(TrainingDiscovery.entry("held", silent.address(), "ready"));
            open.add(client.open(client.request(TrainingRequestClass.AT_MOST_ONCE, "60")));
            reached |= silent.awaitConnection(TrainingStep.PAUSE_MILLIS) != null;
        }
        if (!reached && !silent.hasConnection()) {
            TrainingStep.reportLeftOut(new IOException("no request is in flight at the shutdown"));
        }
        open.add(client.open("GET"));
        open.add(client.open(""));
        Socket idle = client.open(TrainingClient.READINESS_CHECK);
        TrainingServer.read(new BufferedInputStream(idle.getInputStream()));
        open.add(idle);
        return open;
    }
}
