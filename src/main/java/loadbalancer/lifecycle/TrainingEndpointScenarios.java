package loadbalancer.lifecycle;

import java.io.IOException;
import java.net.Socket;
import java.util.List;

/** What the sidecar meets at endpoints in the {@link ClassArchiveTraining}. */
final class TrainingEndpointScenarios {
    private static final int LARGE = 90_000;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String EMPTY_BODY = "Content-Length: 0\r\n\r\n";
    private static final String CHUNKED = TrainingServer.CHUNKED_HEAD;
    private static final String COMPLETE_RESPONSE =
            OK + "Server-Load: util=0.5,qps=3,eps=0\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone";

    /** One response of each kind, valid or not; what the parser and the response assembler handle differently. */
    static final List<String> RESPONSES = List.of(
            COMPLETE_RESPONSE,
            "HTTP/1.1 500 Internal Server Error\r\n" + EMPTY_BODY,
            "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\n" + EMPTY_BODY,
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
            "HTTP/1.1 100 Continue\r\n\r\n" + OK + EMPTY_BODY,
            OK + EMPTY_BODY + OK + EMPTY_BODY,
            OK + "Content-Le",
            "");

    private static final String NO_RESPONSE = "";
    private static final String READY = "ready";
    private static final String SHORT_TIMEOUT_SECONDS = "0.150";

    private final TrainingDiscovery discovery;
    private final TrainingClient client;

    /** Makes scenarios for the sidecar that uses this discovery and serves this client. */
    TrainingEndpointScenarios(TrainingDiscovery discovery, TrainingClient client) {
        this.discovery = discovery;
        this.client = client;
    }

    /** Returns a new endpoint that has answered requests of all classes completely. */
    TrainingServer respondCompletely() throws IOException, InterruptedException {
        return respond(COMPLETE_RESPONSE);
    }

    /** Returns a new endpoint, the only one on the list, that has given this response to requests of all classes. */
    TrainingServer respond(String response) throws IOException, InterruptedException {
        TrainingServer endpoint = new TrainingServer(response);
        String entry = TrainingDiscovery.entry("e" + discovery.latestSequence(), endpoint.address(), READY);
        for (TrainingRequestClass requestClass : TrainingRequestClass.values()) {
            endpoint.discardConnections();
            for (int i = 0; i < TrainingStep.MAX_TRIES && !endpoint.hasConnection(); i++) {
                discovery.sendSnapshot(entry);
                client.exchange(client.request(requestClass, SHORT_TIMEOUT_SECONDS));
            }
        }
        return endpoint;
    }

    /** Lists an endpoint where nothing listens. */
    void refuseConnections() throws IOException, InterruptedException {
        TrainingServer endpoint = new TrainingServer(NO_RESPONSE);
        endpoint.stopListening();
        discovery.sendSnapshot(TrainingDiscovery.entry("refusing", endpoint.address(), READY));
        for (int i = 0; i < TrainingStep.MAX_TRIES; i++) {
            client.exchange(client.request(TrainingRequestClass.ofRequest(i), SHORT_TIMEOUT_SECONDS));
        }
    }

    /** Disconnects clients while their requests wait at an endpoint that does not answer. */
    void disconnectClient() throws IOException, InterruptedException {
        TrainingServer silent = new TrainingServer(NO_RESPONSE);
        boolean reached = false;
        for (int i = 0; i < TrainingStep.MAX_TRIES && !silent.hasConnection(); i++) {
            discovery.sendSnapshot(TrainingDiscovery.entry("silent", silent.address(), READY));
            Socket connection = client.open(client.request(TrainingRequestClass.ofRequest(i), "0.900"));
            try {
                reached |= silent.awaitConnection(TrainingStep.PAUSE_MILLIS) != null;
            } finally {
                connection.close();
            }
        }
        if (!reached && !silent.hasConnection()) {
            throw new IOException("no request reached the silent endpoint");
        }
    }
}
