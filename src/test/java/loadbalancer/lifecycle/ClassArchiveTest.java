package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The class archive, made and used by the commands of the deploy file: a turn of the event loop that meets something
 * for the first time must not load classes from the jar.
 */
class ClassArchiveTest {
    private static final int MAX_TRAINING_SECONDS = 240;
    private static final String FROM_ARCHIVE = "source: shared objects file";
    /** How many classes loaded before one outside of the archive are shown, to identify where it was needed. */
    private static final int CONTEXT_LINES = 4;

    @TempDir
    Path directory;

    private DeployedProgram program;

    @BeforeEach
    void setUp() throws Exception {
        program = new DeployedProgram(directory);
    }

    // One archive for both ways that lists come, as in service.
    @Test
    void containsClassesOfRarePaths() throws Exception {
        train();
        assertRarePathsInArchive("push");
        assertRarePathsInArchive("ask");
    }

    private void train() throws Exception {
        try (ProgramProcess training = program.train(directory.resolve("training-errors"))) {
            int exitCode = training.awaitExit(MAX_TRAINING_SECONDS);
            String errors = training.errorText();
            assertEquals(0, exitCode, errors);
            assertFalse(errors.contains("left out"), errors);
        }
        assertTrue(Files.exists(directory.resolve("load-balancing-sidecar.jsa")));
    }

    private void assertRarePathsInArchive(String discoveryMode) throws Exception {
        Path log = directory.resolve("loaded-" + discoveryMode);
        int loadedBeforeReady;
        try (ArchivedSidecar sidecar = new ArchivedSidecar(program, discoveryMode, log)) {
            loadedBeforeReady = Files.readAllLines(log).size();
            new RarePathScenarios(sidecar).playAll();
        }
        List<String> loaded = Files.readAllLines(log);
        List<String> outside = new ArrayList<>();
        for (int i = loadedBeforeReady; i < loaded.size(); i++) {
            if (!loaded.get(i).contains(FROM_ARCHIVE)) {
                outside.add(loaded.get(i) + " after " + loaded.subList(Math.max(0, i - CONTEXT_LINES), i));
            }
        }
        assertTrue(
                outside.isEmpty(),
                () -> outside.size() + " of " + (loaded.size() - loadedBeforeReady) + " were not in the archive:\n"
                        + String.join("\n", outside));
    }
}
