package loadbalancer.eventloop;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The processor time of one thread, read from Linux's {@code /proc} (proc(5), {@code utime} and {@code stime}).
 *
 * <p>The JVM's management interface tells the same, but loads some hundred classes and links so many lambdas at the
 * start that the JVM spins a class for that in a turn that serves.
 */
final class ThreadProcessorTime implements LongSupplier {
    /** What stands for a time that is not known, for instance where there is no {@code /proc}. */
    static final long UNKNOWN = -1;

    private static final String FILE = "/proc/thread-self/stat";
    private static final int MAX_LENGTH = 1024;
    /** Linux counts in hundredths of a second towards programs, whatever the kernel itself counts in. */
    private static final long NANOS_PER_TICK = TimeUnit.MILLISECONDS.toNanos(10);
    /** Blanks between the thread's name, which is in parentheses, and {@code utime}. */
    private static final int BLANKS_BEFORE_USER_TIME = 12;

    private final byte[] buffer = new byte[MAX_LENGTH];
    private RandomAccessFile file;
    private boolean opened;

    /** The time that the thread of the first call has used so far in nanoseconds, or {@link #UNKNOWN}. */
    @Override
    public long getAsLong() {
        try {
            if (!opened) {
                opened = true;
                file = new RandomAccessFile(FILE, "r");
            }
            if (file == null) {
                return UNKNOWN;
            }
            file.seek(0);
            int length = file.read(buffer);
            return parse(new String(buffer, 0, Math.max(0, length), StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            return UNKNOWN;
        }
    }

    /** User and system time in this line of {@code stat}, in nanoseconds, or {@link #UNKNOWN}. */
    static long parse(String line) {
        // A thread's name may hold blanks and parentheses of its own.
        int at = line.lastIndexOf(')') + 1;
        for (int i = 0; i < BLANKS_BEFORE_USER_TIME && at > 0; i++) {
            at = line.indexOf(' ', at) + 1;
        }
        int userEnd = at > 0 ? line.indexOf(' ', at) : -1;
        int systemEnd = userEnd > 0 ? line.indexOf(' ', userEnd + 1) : -1;
        if (systemEnd < 0) {
            return UNKNOWN;
        }
        try {
            long user = Long.parseLong(line.substring(at, userEnd));
            long system = Long.parseLong(line.substring(userEnd + 1, systemEnd));
            return (user + system) * NANOS_PER_TICK;
        } catch (NumberFormatException e) {
            return UNKNOWN;
        }
    }
}
