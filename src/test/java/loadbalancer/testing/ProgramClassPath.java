package loadbalancer.testing;

import java.io.File;
import java.util.List;
import java.util.stream.Stream;

/** The part of this test's class path that the program has in service, without the libraries of the tests. */
public final class ProgramClassPath {
    private static final List<String> LIBRARIES = List.of("netty", "jackson");

    private ProgramClassPath() {}

    /** The jars of the libraries that the program is packaged with. */
    public static List<String> libraries() {
        return entries().filter(ProgramClassPath::isLibrary).toList();
    }

    /** The folder of the program's classes and the jars of its libraries, as one argument of the JVM. */
    public static String asArgument() {
        List<String> entries = entries()
                .filter(entry -> !entry.endsWith(".jar") || isLibrary(entry))
                .toList();
        return String.join(File.pathSeparator, entries);
    }

    private static Stream<String> entries() {
        return Stream.of(System.getProperty("java.class.path").split(File.pathSeparator));
    }

    private static boolean isLibrary(String entry) {
        return entry.endsWith(".jar") && LIBRARIES.stream().anyMatch(entry::contains);
    }
}
