package loadbalancer.lifecycle;

import java.io.IOException;
import java.util.List;

/** The endpoint lists of the {@link ClassArchiveTraining}, valid and malformed, and the ends of a watch. */
final class TrainingListScenarios {
    private static final List<String> MALFORMED_LISTS =
            List.of("not json\n", "[1]\n", "{\"seq\":1}\n", "{\"seq\":0,\"whole\":false,\"hosts\":[]}\n");
    private static final String NAME = "kept";

    private final TrainingConfiguration configuration;
    private final TrainingDiscovery discovery;
    private final TrainingClient client;
    private final TrainingEndpointScenarios endpoints;

    /** Makes scenarios for the sidecar of this configuration, which uses this discovery and serves this client. */
    TrainingListScenarios(
            TrainingConfiguration configuration,
            TrainingDiscovery discovery,
            TrainingClient client,
            TrainingEndpointScenarios endpoints) {
        this.configuration = configuration;
        this.discovery = discovery;
        this.client = client;
        this.endpoints = endpoints;
    }

    /** Sends valid lists, then ends the watch in each way that the sidecar takes up again soon. */
    void play() throws IOException, InterruptedException {
        sendValidLists();
        discovery.resetWatch();
        discovery.awaitWatch();
        if (!configuration.pushed()) {
            // Each further loss would make the polling sidecar wait longer before its next poll.
            return;
        }
        for (String malformed : MALFORMED_LISTS) {
            discovery.send(malformed);
            discovery.awaitWatch();
        }
        discovery.closeWatch();
        discovery.awaitWatch();
        discovery.completeWatch();
        discovery.awaitWatch();
    }

    private void sendValidLists() throws IOException, InterruptedException {
        String address = endpoints.respondCompletely().address();
        String ready = TrainingDiscovery.entry(NAME, address, "ready");
        discovery.send(plainSnapshot(ready).replace(",", " ,\r\n\t") + "\n");
        discovery.sendByteByByte(plainSnapshot(ready) + "\n");
        discovery.sendDelta(TrainingDiscovery.entry(NAME, address, "draining"));
        discovery.sendDelta(TrainingDiscovery.entry(NAME, address, "gone"));
        discovery.sendDelta(ready, TrainingDiscovery.entry("also", address, "ready"));
        client.exchange(client.request(TrainingRequestClass.IDEMPOTENT, "0.150"));
    }

    private String plainSnapshot(String entry) {
        return "{\"seq\":" + discovery.nextSequence() + ",\"whole\":true,\"hosts\":[" + entry + "]}";
    }
}
