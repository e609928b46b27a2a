package loadbalancer.lifecycle;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.configuration.ConfigurationException;
import loadbalancer.protocol.Decimals;

/**
 * The training run of the class archive: a sidecar, started as {@code serve} starts it, meets the first of each kind of
 * response, client, endpoint list and signal. Without it, the classes and lambdas for these were read from the jar and
 * linked on the event loop, in a turn that had requests waiting.
 *
 * <p>It is no part of {@code check}, which is to be quick, and {@code serve} never loads this class. A step that can't
 * be played is reported and left out: an archive with fewer classes is no reason to fail a build. The scenarios and
 * their order decide what is in the archive.
 */
public final class ClassArchiveTraining {
    private final TrainingConfiguration configuration;
    private final TrainingDiscovery discovery;
    private final TrainingClient client;

    private ClassArchiveTraining(Path original, Path file, boolean pushed) throws IOException {
        this.discovery = new TrainingDiscovery();
        this.configuration = new TrainingConfiguration(original, file, pushed);
        this.client = new TrainingClient(configuration.port(), "t" + pushed);
    }

    /**
     * Plays all scenarios, once for each way that endpoint lists come. One that fails is printed to standard error.
     *
     * @param path the configuration file whose settings the trained sidecar uses
     * @param endProcess ends the process at once after an {@link Error}
     * @throws ConfigurationException if the file can't be used
     * @throws StartupException if the sidecar can't start
     */
    public static void run(String path, Runnable endProcess) throws ConfigurationException, StartupException {
        try {
            Path file = Files.createTempFile("training", ".json");
            for (boolean pushed : new boolean[] {false, true}) {
                new ClassArchiveTraining(Path.of(path), file, pushed).play(endProcess);
            }
            Files.delete(file);
        } catch (ConfigurationException | StartupException e) {
            throw e;
        } catch (Exception e) {
            TrainingStep.reportLeftOut(e);
        }
    }

    private void play(Runnable endProcess) throws Exception {
        configuration.write(discovery.address());
        SidecarProcess process = SidecarProcess.create(configuration.path(), endProcess);
        process.serve();
        discovery.awaitWatch();
        discovery.sendSnapshot();
        awaitReady();
        playScenarios();
        List<Socket> open = new TrainingClientScenarios(configuration, discovery, client).openForShutdown();
        // Here and not by the end of the process alone: the JVM records only a part of what runs then.
        process.shutDown();
        for (Socket socket : open) {
            TrainingStep.attempt(socket::close);
        }
    }

    private void playScenarios() {
        TrainingEndpointScenarios endpoints = new TrainingEndpointScenarios(discovery, client);
        for (String response : TrainingEndpointScenarios.RESPONSES) {
            TrainingStep.attempt(() -> endpoints.respond(response));
        }
        TrainingStep.attempt(ClassArchiveTraining::roundByDigits);
        TrainingStep.attempt(endpoints::refuseConnections);
        TrainingStep.attempt(endpoints::disconnectClient);
        TrainingStep.attempt(new TrainingListScenarios(configuration, discovery, client, endpoints)::play);
        TrainingStep.attempt(new TrainingClientScenarios(configuration, discovery, client)::sendInvalidRequests);
        TrainingStep.attempt(new TrainingReloadScenarios(configuration, discovery)::play);
    }

    private void awaitReady() throws IOException, InterruptedException {
        for (int i = 0; i < TrainingStep.MAX_TRIES && !isReady(); i++) {
            TimeUnit.MILLISECONDS.sleep(TrainingStep.PAUSE_MILLIS);
        }
    }

    private boolean isReady() throws IOException {
        return client.exchange(TrainingClient.READINESS_CHECK).contains(" 200 ");
    }

    // A number that is rounded by its decimal digits, which few numbers are.
    private static void roundByDigits() {
        Decimals.formatThousandths(0.0005);
    }
}
