package loadbalancer.lifecycle;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** The configuration reloads of the {@link ClassArchiveTraining}: working and failing discoveries, and a bad file. */
final class TrainingReloadScenarios {
    private static final String UNAVAILABLE = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    private final TrainingConfiguration configuration;
    private final TrainingDiscovery discovery;

    /** Makes scenarios for the sidecar of this configuration, which uses this discovery. */
    TrainingReloadScenarios(TrainingConfiguration configuration, TrainingDiscovery discovery) {
        this.configuration = configuration;
        this.discovery = discovery;
    }

    /** Moves discovery to a server that responds with an error, one that refuses connections, and a working one. */
    void play() throws IOException, InterruptedException, ReflectiveOperationException {
        TrainingServer unavailable = new TrainingServer(UNAVAILABLE);
        TrainingServer working = TrainingDiscovery.newServer();
        reload(unavailable.address());
        if (unavailable.awaitConnection(TrainingStep.MAX_WAIT_MILLIS) == null) {
            TrainingStep.reportLeftOut(new IOException("no watch came at the unavailable discovery"));
        }
        configuration.writeMalformed();
        HangupSignal.raise();
        TrainingServer refusing = new TrainingServer("");
        refusing.stopListening();
        // Nothing shows when the sidecar has handled these two reloads.
        TimeUnit.MILLISECONDS.sleep(TrainingStep.PAUSE_MILLIS);
        reload(refusing.address());
        TimeUnit.MILLISECONDS.sleep(TrainingStep.PAUSE_MILLIS);
        reload(working.address());
        discovery.awaitWatchAt(working);
    }

    private void reload(String discoveryAddress) throws IOException, ReflectiveOperationException {
        configuration.write(discoveryAddress);
        HangupSignal.raise();
    }
}
