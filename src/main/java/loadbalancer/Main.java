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
    private static final int EXIT_SUCCESS = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_FATAL_ERROR = 3;
    private static final String USAGE =
            """
            usage: java -jar load-balancing-sidecar.jar COMMAND

            commands:
              serve                 serve requests until SIGTERM
              check                 check the configuration and that a start with it succeeds
              train-class-archive   exercise a sidecar for the JVM's class archive
              simulator-adapter     run the balancing policy for the simulator, on standard input and output

            All commands but simulator-adapter read the configuration file that PROXY_CONFIG names.
            """;

    private Main() {}

    /**
     * Runs one command. Prints the usage on {@code --help} or {@code -h}; exits with 2 on wrong usage, with 1 on an
     * invalid configuration or a failed start, and with 3 on an {@link Error} while it serves.
     */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        try {
            run(command);
        } catch (ConfigurationException e) {
            fail(PROGRAM + ": configuration: " + e.getMessage());
        } catch (StartupException e) {
            fail(PROGRAM + ": cannot start: " + e.getMessage());
        } catch (WireFormatException | IOException e) {
            fail(command + ": " + e.getMessage());
        }
    }

    private static void run(String command) throws ConfigurationException, StartupException, IOException {
        switch (command) {
            case "serve" -> SidecarProcess.create(configurationPath(), Main::halt)
                    .serve();
            case "check" -> {
                SidecarProcess.create(configurationPath(), Main::halt).check();
                System.exit(EXIT_SUCCESS);
            }
            case "train-class-archive" -> {
                ClassArchiveTraining.run(configurationPath(), Main::halt);
                System.exit(EXIT_SUCCESS);
            }
            case "simulator-adapter" -> new SimulatorConnection(
                            new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out))
                    .run();
            case "--help", "-h" -> {
                System.out.print(USAGE);
                System.exit(EXIT_SUCCESS);
            }
            default -> {
                System.err.print(USAGE);
                System.exit(EXIT_USAGE);
            }
        }
    }

    private static String configurationPath() throws ConfigurationException {
        String path = System.getenv(CONFIGURATION_VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new ConfigurationException(CONFIGURATION_VARIABLE, "is not set");
        }
        return path;
    }

    // Not an exit, which would wait for shutdown hooks that may need what has failed.
    private static void halt() {
        Runtime.getRuntime().halt(EXIT_FATAL_ERROR);
    }

    private static void fail(String line) {
        System.err.println(line);
        System.exit(EXIT_FAILURE);
    }
}
