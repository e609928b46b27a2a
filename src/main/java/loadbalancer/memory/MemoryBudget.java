package loadbalancer.memory;

/**
 * The bytes that all peers together can make the process hold. The last part of it is for small holdings and for what
 * has been taken already: a client with a small request is served while others hold what they can.
 */
public final class MemoryBudget {
    /** Of the memory there is; the rest is for what lives shortly, and for the collector to work with. */
    private static final double USABLE_FRACTION = 0.75;
    /** The program itself, and the endpoint lists in force. */
    private static final long PROGRAM_BYTES = 8L << 20;
    /** A connection with its handlers, without anything received; some 2.6 KiB are in use. */
    private static final long CONNECTION_BYTES = 4096;

    private static final MemoryUse[] USES = MemoryUse.values();

    private final long capacityBytes;
    private final long[] heldBytes = new long[USES.length];
    private final long[] refusals = new long[USES.length];
    private long totalBytes;
    private long peakBytes;

    /** A budget of so many bytes, of which nothing is held. */
    public MemoryBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /**
     * Returns the budget of a process.
     *
     * @param heapBytes the largest size of its heap
     * @param connections how many it may have at once
     */
    public static MemoryBudget ofHeap(long heapBytes, int connections) {
        double usableBytes = heapBytes * USABLE_FRACTION - PROGRAM_BYTES - connections * CONNECTION_BYTES;
        return new MemoryBudget(Math.max(heapBytes / USES.length, (long) usableBytes));
    }

    /** Returns a budget that refuses nothing. */
    public static MemoryBudget unlimited() {
        return new MemoryBudget(Long.MAX_VALUE);
    }

    /** Returns a holding of this use that holds nothing yet. */
    public MemoryHolding newHolding(MemoryUse use) {
        return new MemoryHolding(this, use);
    }

    /** Takes bytes for a holding that then has this size; returns false, and counts it, if there are too few. */
    boolean tryTake(MemoryUse use, long bytes, long sizeAfterwards) {
        double maxBytes = sizeAfterwards <= use.smallHoldingBytes() ? capacityBytes : capacityBytes * use.maxFraction();
        if (totalBytes + bytes > maxBytes) {
            refusals[use.ordinal()]++;
            return false;
        }
        change(use, bytes);
        return true;
    }

    /** Takes bytes, or gives them back if negative, whether or not they are there. */
    void change(MemoryUse use, long bytes) {
        heldBytes[use.ordinal()] += bytes;
        totalBytes += bytes;
        peakBytes = Math.max(peakBytes, totalBytes);
    }

    /** Returns the bytes that may be held. */
    public long capacityBytes() {
        return capacityBytes;
    }

    /** Returns the bytes that are held. */
    public long heldBytes() {
        return totalBytes;
    }

    /** Returns the bytes that are held for this use. */
    public long heldBytes(MemoryUse use) {
        return heldBytes[use.ordinal()];
    }

    /** Returns the most bytes that were held at once. */
    public long peakBytes() {
        return peakBytes;
    }

    /** Returns how often bytes were refused for this use. */
    public long refusals(MemoryUse use) {
        return refusals[use.ordinal()];
    }

    /** Returns how often bytes were refused. */
    public long refusals() {
        long sum = 0;
        for (long count : refusals) {
            sum += count;
        }
        return sum;
    }
}
