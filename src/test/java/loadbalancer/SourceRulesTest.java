package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** What holds for every source file of the program. */
class SourceRulesTest {
    private static final Path MAIN = Path.of("src/main/java");
    private static final Path POLICY = MAIN.resolve("loadbalancer/policy");
    private static final Pattern QUOTED = Pattern.compile("\"([^\"]+)\"");
    private static final int MAX_LINES = 400;

    private static final Pattern WALL_CLOCK =
            Pattern.compile("currentTimeMillis|Instant\\.now|Clock\\.system|LocalDateTime|ZonedDateTime|new Date\\(");

    static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(MAIN)) {
            return files.filter(f -> f.toString().endsWith(".java")).toList();
        }
    }

    @ParameterizedTest
    @MethodSource("sources")
    void fileIsWithinItsMaximumLength(Path file) throws IOException {
        long lines = Files.readAllLines(file).stream().filter(l -> !l.isBlank()).count();
        assertTrue(lines <= MAX_LINES, file + " has " + lines);
    }

    // The bench keeps the text of the policy's files with each result; it takes files, not folders.
    @Test
    void deployFileListsEveryFileOfThePolicy() throws IOException {
        String deployFile = Files.readString(Path.of("deploy/balancer.toml"));
        String listed = deployFile
                .lines()
                .filter(line -> line.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        Set<String> names = new TreeSet<>();
        for (MatchResult name : QUOTED.matcher(listed).results().toList()) {
            names.add(name.group(1));
        }
        Set<String> files = new TreeSet<>();
        for (Path file : sources()) {
            if (file.startsWith(POLICY) && !file.endsWith("package-info.java")) {
                files.add(file.toString());
            }
        }
        assertEquals(files, names);
    }

    // Spans of time follow the monotonic clock, which no step moves.
    @Test
    void wallClockIsReadInOneClassOnly() throws IOException {
        List<String> readers = sources().stream()
                .filter(SourceRulesTest::readsWallClock)
                .map(f -> f.getFileName().toString())
                .toList();
        assertEquals(List.of("Clock.java"), readers);
    }

    private static boolean readsWallClock(Path file) {
        try {
            return WALL_CLOCK.matcher(Files.readString(file)).find();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
