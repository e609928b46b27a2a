package loadbalancer.lifecycle;

import java.io.IOException;
import java.net.Socket;
import java.util.Locale;

/** Discovery in the {@link ClassArchiveTraining}: accepts the sidecar's watch and sends endpoint lists on it. */
final class TrainingDiscovery {
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private TrainingServer server = newServer();
    private Socket watch;
    private int sequence;

    /** Starts discovery at a free port. */
    TrainingDiscovery() throws IOException {}

    /** Starts a server that accepts a watch. */
    static TrainingServer newServer() throws IOException {
        return new TrainingServer(TrainingServer.CHUNKED_HEAD);
    }

    /** Returns host and port. */
    String address() {
        return server.address();
    }

    /** Waits for the sidecar's next watch, on which lists are sent from then on. */
    void awaitWatch() throws IOException, InterruptedException {
        watch = server.awaitConnection(TrainingStep.MAX_WAIT_MILLIS);
        if (watch == null) {
            throw new IOException("no watch came");
        }
        useNewestWatch();
    }

    /** Waits for the sidecar's watch at another server, which replaces the present one. */
    void awaitWatchAt(TrainingServer newServer) throws IOException, InterruptedException {
        server = newServer;
        awaitWatch();
    }

    private void useNewestWatch() {
        Socket newer = server.pollConnection();
        while (newer != null) {
            watch = newer;
            newer = server.pollConnection();
        }
    }

    /** Returns an endpoint's entry in a list. */
    static String entry(String name, String address, String health) {
        return String.format(
                Locale.ROOT,
                "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"a\",\"class\":\"m\","
                        + "\"block\":0,\"health\":\"%s\",\"share\":1.0,\"born_ms\":0}",
                name,
                address,
                health);
    }

    /** Sends a list of all endpoints. */
    void sendSnapshot(String... entries) throws IOException, InterruptedException {
        sendList(true, entries);
    }

    /** Sends a list of the endpoints that have changed. */
    void sendDelta(String... entries) throws IOException, InterruptedException {
        sendList(false, entries);
    }

    private void sendList(boolean snapshot, String... entries) throws IOException, InterruptedException {
        send("{\"seq\":" + nextSequence() + ",\"whole\":" + snapshot + ",\"extra\":[1.5,null],\"hosts\":["
                + String.join(",", entries) + "]}\n");
    }

    /** Sends this text in one chunk. */
    void send(String text) throws IOException, InterruptedException {
        useNewestWatch();
        // A watch may have ended unexpectedly: on a machine that stood still, the sidecar gives up a silent one.
        if (watch.isClosed()) {
            awaitWatch();
        }
        TrainingServer.write(watch, chunk(text));
    }

    /** Sends this text in chunks of one character, which cut every name, number and word as reads of any size may. */
    void sendByteByByte(String text) throws IOException {
        useNewestWatch();
        StringBuilder chunks = new StringBuilder();
        for (char character : text.toCharArray()) {
            chunks.append(chunk(String.valueOf(character)));
        }
        TrainingServer.write(watch, chunks.toString());
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns the sequence number of a new list. */
    int nextSequence() {
        return ++sequence;
    }

    /** Returns the sequence number of the latest list. */
    int latestSequence() {
        return sequence;
    }

    /** Ends the watch by a reset of its connection. */
    void resetWatch() throws IOException {
        TrainingServer.reset(watch);
    }

    /** Ends the watch by an orderly close of its connection. */
    void closeWatch() throws IOException {
        watch.close();
    }

    /** Ends the watch by the last chunk of its response. */
    void completeWatch() throws IOException {
        TrainingServer.write(watch, LAST_CHUNK);
    }
}
