package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The pages of the documentation name classes and methods as the sources have them. */
class DocumentationTest {
    private static final Path README = Path.of("README.md");
    private static final int MAX_README_LINES = 100;

    /** Names in backticks that are the JDK's, Netty's or the environment's and so in no source file of ours. */
    private static final Set<String> FOREIGN_NAMES =
            Set.of("ChannelInputShutdownEvent", "NioIoHandler.select", "PROXY_CONFIG");

    private static final Pattern CODE_SPAN = Pattern.compile("`([^`]*)`");
    /** A class, a nested class or a method, each behind the one that declares it. */
    private static final Pattern JAVA_NAME = Pattern.compile("[A-Z]\\w*(\\.[A-Za-z]\\w*)*(\\(\\))?");

    private static final Pattern SHORTENED_NAME = Pattern.compile("\\S+\\.\\.\\.");
    private static final Pattern FILE_NAME = Pattern.compile("\\w+\\.(md|txt|xml|java)");
    private static final Pattern TYPE_DECLARATION =
            Pattern.compile("(?m)^[\\w ]*\\b(?:class|interface|enum|record) ([A-Z]\\w*)");
    /** A method's declaration begins its line with modifiers or a type, where a call begins with the method itself. */
    private static final Pattern METHOD_DECLARATION =
            Pattern.compile("(?m)^ +(?!(?:return|throw|new|else|case|yield|assert) )(?:<[\\w, ?]+> )?"
                    + "(?:[\\w.]+(?:<[^(){};=]*>)?(?:\\[])* )+(\\w+)\\(");

    private static final Pattern CONSTANT_DECLARATION =
            Pattern.compile("(?m)^ +(?:[a-z]+ )*static final [\\w.<>,\\[\\] ]+ ([A-Z][A-Z0-9_]*)\\b");

    /** What one source file declares. */
    private record SourceFile(Set<String> types, Set<String> methods, Set<String> constants) {
        private static SourceFile read(Path file) throws IOException {
            String source = Files.readString(file);
            return new SourceFile(
                    namesIn(source, TYPE_DECLARATION),
                    namesIn(source, METHOD_DECLARATION),
                    namesIn(source, CONSTANT_DECLARATION));
        }

        private static Set<String> namesIn(String source, Pattern declaration) {
            Set<String> names = new HashSet<>();
            Matcher matcher = declaration.matcher(source);
            while (matcher.find()) {
                names.add(matcher.group(1));
            }
            return names;
        }

        private boolean declares(List<String> name) {
            if (name.size() == 1 && constants.contains(name.get(0))) {
                return true;
            }
            return types.contains(name.get(0))
                    && name.stream().skip(1).allMatch(part -> types.contains(part) || methods.contains(part));
        }
    }

    private final List<SourceFile> sources = new ArrayList<>();

    DocumentationTest() throws IOException {
        for (Path root : List.of(Path.of("src/main/java"), Path.of("src/test/java"))) {
            for (Path file : filesUnder(root, ".java")) {
                sources.add(SourceFile.read(file));
            }
        }
    }

    @Test
    void namesOnlyDeclaredClassesAndMethods() throws IOException {
        Set<String> stale = new TreeSet<>();
        for (Path page : pages()) {
            for (String name : codeSpans(page)) {
                if (isStale(name)) {
                    stale.add(page + ": " + name);
                }
            }
        }
        assertEquals(Set.of(), stale, "names in backticks that no source file declares");
    }

    @Test
    void usesEachForeignName() throws IOException {
        Set<String> unused = new HashSet<>(FOREIGN_NAMES);
        for (Path page : pages()) {
            unused.removeAll(codeSpans(page));
        }
        assertEquals(Set.of(), unused);
    }

    @Test
    void endsEachCodeSpanOnItsLine() throws IOException {
        List<String> unpaired = new ArrayList<>();
        for (Path page : pages()) {
            for (String line : Files.readAllLines(page)) {
                if (!line.startsWith("```")
                        && line.chars().filter(c -> c == '`').count() % 2 != 0) {
                    unpaired.add(page + ": " + line);
                }
            }
        }
        assertEquals(List.of(), unpaired);
    }

    @Test
    void keepsReadmeShort() throws IOException {
        assertTrue(Files.readAllLines(README).size() <= MAX_README_LINES, README + " is too long");
    }

    @Test
    void recognizesStaleNames() {
        assertTrue(isStale("NoSuchClass"));
        assertTrue(isStale("NO_SUCH_CONSTANT"));
        assertTrue(isStale("DocumentationTest.noSuchMethod"));
        assertTrue(isStale("DocumentationTest.NoSuchClass.read"));
        assertTrue(isStale("DocumentationTest.recognizes..."));
        assertTrue(isStale("DocumentationTest.assertTrue"));
        assertFalse(isStale("DocumentationTest"));
        assertFalse(isStale("MAX_README_LINES"));
        assertFalse(isStale("DocumentationTest.recognizesStaleNames"));
        assertFalse(isStale("DocumentationTest.SourceFile.read"));
        assertFalse(isStale("Main.main()"));
        assertFalse(isStale("docs/design.md"));
    }

    private boolean isStale(String name) {
        if (SHORTENED_NAME.matcher(name).matches()) {
            return true;
        }
        if (FOREIGN_NAMES.contains(name)
                || FILE_NAME.matcher(name).matches()
                || !JAVA_NAME.matcher(name).matches()) {
            return false;
        }
        List<String> parts = List.of(name.replace("()", "").split("\\."));
        return sources.stream().noneMatch(source -> source.declares(parts));
    }

    private static List<Path> pages() throws IOException {
        List<Path> pages = new ArrayList<>(filesUnder(Path.of("docs"), ".md"));
        pages.add(README);
        return pages;
    }

    private static List<String> codeSpans(Path page) throws IOException {
        return CODE_SPAN
                .matcher(Files.readString(page).replace("```", ""))
                .results()
                .map(span -> span.group(1))
                .toList();
    }

    private static List<Path> filesUnder(Path root, String suffix) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return files.filter(f -> f.toString().endsWith(suffix)).sorted().toList();
        }
    }
}
