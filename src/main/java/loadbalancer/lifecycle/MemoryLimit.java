package loadbalancer.lifecycle;

import io.netty.util.internal.PlatformDependent;

/** Compares the memory that the process may take with what its JVM options let it take. */
final class MemoryLimit {
    private static final int BYTES_PER_MEGABYTE = 1 << 20;
    /** The JVM without its heap and buffers: classes, compiled code, threads and the collector's tables. */
    private static final int JVM_MEGABYTES = 60;

    private MemoryLimit() {}

    /** Returns a line that says that the limit is too low for this JVM, or null if it is not. */
    static String warning(int limitMegabytes) {
        return warning(
                limitMegabytes,
                megabytes(Runtime.getRuntime().maxMemory()),
                megabytes(PlatformDependent.maxDirectMemory()));
    }

    /** Returns such a line for a JVM whose heap and buffers may grow to these sizes. */
    static String warning(int limitMegabytes, long heapMegabytes, long bufferMegabytes) {
        long neededMegabytes = heapMegabytes + bufferMegabytes + JVM_MEGABYTES;
        if (neededMegabytes <= limitMegabytes) {
            return null;
        }
        return "limits.memory_mb of " + limitMegabytes + " is too low: the JVM's options allow " + neededMegabytes
                + " MB (heap " + heapMegabytes + ", buffers " + bufferMegabytes + ", the JVM itself " + JVM_MEGABYTES
                + ")";
    }

    private static long megabytes(long bytes) {
        return bytes / BYTES_PER_MEGABYTE;
    }
}
