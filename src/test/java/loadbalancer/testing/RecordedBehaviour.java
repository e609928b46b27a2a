package loadbalancer.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Behaviour that was recorded in {@code src/test/resources/recorded} and must stay as it is.
 *
 * <p>A wanted change of behaviour is recorded anew, and the commit says so:
 *
 * <pre>mvn test -Dtest='Recorded*' -Drecord=true</pre>
 */
public final class RecordedBehaviour {
    private static final Path FOLDER = Path.of("src/test/resources/recorded");

    private RecordedBehaviour() {}

    /** True if this run records behaviour in place of comparing it. */
    public static boolean isRecording() {
        return Boolean.getBoolean("record");
    }

    /** The recorded text of this name. */
    public static String read(String name) throws IOException {
        return Files.readString(FOLDER.resolve(name));
    }

    /** Records this text under this name. */
    public static void write(String name, String text) throws IOException {
        Files.createDirectories(FOLDER);
        Files.writeString(FOLDER.resolve(name), text);
    }

    /** Compares this text with the recorded one of the same name, or records it. */
    public static void assertUnchanged(String name, String actual) throws IOException {
        if (isRecording()) {
            write(name, actual);
        }
        assertEquals(read(name), actual, name);
    }

    /** The SHA-256 of this text, in hexadecimal digits. */
    public static String sha256(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
