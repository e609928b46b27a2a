package loadbalancer;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import loadbalancer.configuration.ConfigurationException;
import loadbalancer.lifecycle.ClassArchiveTraining;
import loadbalancer.lifecycle.SidecarProcess;
import loadbalancer.lifecycle.StartupException;
import loadbalancer.simulator.SimulatorConnection;
import loadbalancer.simulator.WireFormatException;

/** The command line. The only class that ends the process. */
public final class Main {
    private static final String PROGRAM = "load-balancing-sidecar";
    private static final String CONFIGURATION_VARIABLE = "PROXY_CONFIG";
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;
    private static final String USAGE =
            "usage: java -jar " + PROGRAM + ".jar serve | check | train-class-archive | simulator-adapter";

    private Main() {}

    /** Runs one command; exits with 2 on wrong usage and with 1 on a bad configuration or a failed start. */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        try {
            run(command);
        } catch (ConfigurationException e) {
            exit(EXIT_FAILURE, PROGRAM + ": configuration: " + e.getMessage());
        } catch (StartupException e) {
            exit(EXIT_FAILURE, PROGRAM + ": cannot start: " + e.getMessage());
        } catch (WireFormatException | IOException e) {
            exit(EXIT_FAILURE, command + ": " + e.getMessage());
        }
    }

    private static void run(String command) throws ConfigurationException, StartupException, IOException {
        switch (command) {
            case "serve" -> SidecarProcess.prepare(configurationPath()).serve();
            case "check" -> {
                SidecarProcess.prepare(configurationPath());
                System.exit(0);
            }
            case "train-class-archive" -> {
                ClassArchiveTraining.run(configurationPath());
                System.exit(0);
            }
            case "simulator-adapter" -> new SimulatorConnection(
                            new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out))
                    .run();
            default -> exit(EXIT_USAGE, USAGE);
        }
    }

    private static String configurationPath() throws ConfigurationException {
        String path = System.getenv(CONFIGURATION_VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new ConfigurationException(CONFIGURATION_VARIABLE, "is not set");
        }
        return path;
    }

    private static void exit(int code, String line) {
        System.err.println(line);
        System.exit(code);
    }
}
