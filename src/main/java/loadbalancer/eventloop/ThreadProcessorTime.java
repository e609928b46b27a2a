package loadbalancer.eventloop;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The processor time of one thread, read from Linux's {@code /proc} (proc(5), {@code utime} and {@code stime}).
 *
 * <p>The JVM's management interface gives the same figure, but loads some hundred classes and links so many lambdas at
 * the start that the JVM later generates a class for them in a turn that serves requests.
 */
final class ThreadProcessorTime implements LongSupplier {
    /** The value of an unknown time, for instance on a system without {@code /proc}. */
    static final long UNKNOWN = -1;

    private static final String STATISTICS_FILE = "/proc/thread-self/stat";
    private static final int MAX_LINE_BYTES = 1024;
    /** Linux reports hundredths of a second to programs ({@code USER_HZ}), whatever the kernel's own resolution. */
    private static final long NANOS_PER_TICK = TimeUnit.MILLISECONDS.toNanos(10);
    /** Spaces between the thread's name, which is in parentheses, and {@code utime}. */
    private static final int SPACES_BEFORE_USER_TIME = 12;

    private final byte[] buffer = new byte[MAX_LINE_BYTES];
    private RandomAccessFile file;
    private boolean openAttempted;

    /** Returns the nanoseconds that the thread of the first call has used so far, or {@link #UNKNOWN}. */
    @Override
    public long getAsLong() {
        try {
            if (!openAttempted) {
                openAttempted = true;
                file = new RandomAccessFile(STATISTICS_FILE, "r");
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

    /** Returns the user and system time of a line of {@code stat} in nanoseconds, or {@link #UNKNOWN}. */
    static long parse(String line) {
        // The name may itself contain spaces and parentheses.
        int userStart = line.lastIndexOf(')') + 1;
        for (int i = 0; i < SPACES_BEFORE_USER_TIME && userStart > 0; i++) {
            userStart = line.indexOf(' ', userStart) + 1;
        }
        int userEnd = userStart > 0 ? line.indexOf(' ', userStart) : -1;
        int systemEnd = userEnd > 0 ? line.indexOf(' ', userEnd + 1) : -1;
        if (systemEnd < 0) {
            return UNKNOWN;
        }
        try {
            long userTicks = Long.parseLong(line.substring(userStart, userEnd));
            long systemTicks = Long.parseLong(line.substring(userEnd + 1, systemEnd));
            return (userTicks + systemTicks) * NANOS_PER_TICK;
        } catch (NumberFormatException e) {
            return UNKNOWN;
        }
    }
}
