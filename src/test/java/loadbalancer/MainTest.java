package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import loadbalancer.lifecycle.ProgramProcess;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The command line: usage, messages and exit codes. */
class MainTest {
    private static final List<String> COMMANDS = List.of("serve", "check", "train-class-archive", "simulator-adapter");

    @TempDir
    Path directory;

    private Path errors;

    @BeforeEach
    void setUp() {
        errors = directory.resolve("errors");
    }

    private Path write(String configuration) throws IOException {
        return Files.writeString(directory.resolve("configuration.json"), configuration);
    }

    private static String validConfiguration(String listen) throws IOException {
        return TestSidecar.config(listen, FakeServer.refusing(), 1024);
    }

    private void failsWithOneLine(Path configuration) throws Exception {
        failsWithOneLine(configuration, "serve");
    }

    private void failsWithOneLine(Path configuration, String command) throws Exception {
        try (ProgramProcess program = ProgramProcess.start(errors, configuration, command)) {
            assertEquals(1, program.awaitExit());
            assertEquals(1, program.errorLines().size(), program.errorText());
        }
    }

    private static void assertUsage(String text) {
        assertTrue(text.startsWith("usage: "), text);
        for (String command : COMMANDS) {
            assertEquals(
                    1,
                    text.lines()
                            .filter(line -> line.startsWith("  " + command + " "))
                            .count(),
                    text);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"--help", "-h"})
    void helpPrintsUsageToStandardOutput(String option) throws Exception {
        try (ProgramProcess program = ProgramProcess.start(errors, null, option)) {
            assertUsage(program.outputText());
            assertEquals(0, program.awaitExit());
            assertEquals("", program.errorText());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "run", "serve check"})
    void wrongUsagePrintsUsageToStandardError(String arguments) throws Exception {
        String[] words = arguments.isEmpty() ? new String[0] : arguments.split(" ");
        try (ProgramProcess program = ProgramProcess.start(errors, null, words)) {
            assertEquals(2, program.awaitExit());
            assertUsage(program.errorText());
            assertEquals("", program.outputText());
        }
    }

    @Test
    void failsWithoutConfiguration() throws Exception {
        failsWithOneLine(null);
    }

    @Test
    void failsOnAbsentConfigurationFile() throws Exception {
        failsWithOneLine(directory.resolve("absent.json"));
    }

    @Test
    void failsOnMalformedConfiguration() throws Exception {
        failsWithOneLine(write("{"));
    }

    @Test
    void trainingFailsOnUnusableConfiguration() throws Exception {
        String invalid = validConfiguration("127.0.0.1:0").replace("\"cold\":24000", "\"cold\":\"x\"");
        failsWithOneLine(write(invalid), "train-class-archive");
    }

    @Test
    void failsOnDuplicateRequestClass() throws Exception {
        failsWithOneLine(write(validConfiguration("127.0.0.1:0").replace("\"submit\"", "\"status\"")));
    }

    @Test
    void failsOnLatencyObjectiveBeyondDeadline() throws Exception {
        failsWithOneLine(write(validConfiguration("127.0.0.1:0").replace("\"slo\":1000", "\"slo\":90000")));
    }

    @Test
    void failsOnAddressInUse() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            failsWithOneLine(write(validConfiguration("127.0.0.1:" + taken.getLocalPort())));
        }
    }

    @Test
    void checkAcceptsExampleConfiguration() throws Exception {
        try (ProgramProcess program = ProgramProcess.start(errors, Path.of("deploy/example.json"), "check")) {
            assertEquals(0, program.awaitExit(), () -> "see " + errors);
            assertEquals("", program.errorText());
        }
    }
}
