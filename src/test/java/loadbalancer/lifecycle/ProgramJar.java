package loadbalancer.lifecycle;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;
import loadbalancer.Main;
import loadbalancer.testing.ProgramClassPath;

/**
 * Writes the classes under test and their libraries into one jar, as the package has them, because the JVM archives no
 * classes from a class path with folders.
 */
final class ProgramJar implements AutoCloseable {
    private static final String MANIFEST = "Manifest-Version: 1.0\nMain-Class: loadbalancer.Main\n\n";

    private final Set<String> entries = new HashSet<>();
    private final JarOutputStream output;

    private ProgramJar(Path jar) throws IOException {
        output = new JarOutputStream(Files.newOutputStream(jar));
    }

    /** Writes the jar to this file. */
    static void write(Path jar) throws IOException, URISyntaxException {
        try (ProgramJar program = new ProgramJar(jar)) {
            program.add(JarFile.MANIFEST_NAME, MANIFEST.getBytes(StandardCharsets.UTF_8));
            program.addProgram();
            for (String library : ProgramClassPath.libraries()) {
                program.addLibrary(library);
            }
        }
    }

    private void addProgram() throws IOException, URISyntaxException {
        Path classes = Path.of(
                Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        if (!Files.isDirectory(classes)) {
            return;
        }
        try (Stream<Path> files = Files.walk(classes)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                add(classes.relativize(file).toString(), Files.readAllBytes(file));
            }
        }
    }

    private void addLibrary(String library) throws IOException {
        try (JarFile file = new JarFile(library)) {
            for (JarEntry entry : file.stream().toList()) {
                if (entry.getName().endsWith(".class") && !entry.getName().startsWith("META-INF")) {
                    add(entry.getName(), file.getInputStream(entry).readAllBytes());
                }
            }
        }
    }

    private void add(String name, byte[] bytes) throws IOException {
        if (entries.add(name)) {
            output.putNextEntry(new JarEntry(name));
            output.write(bytes);
        }
    }

    @Override
    public void close() throws IOException {
        output.close();
    }
}
