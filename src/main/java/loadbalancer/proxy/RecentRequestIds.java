package loadbalancer.proxy;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import loadbalancer.memory.MemoryHolding;

/**
 * The identifiers of requests that are no longer pending, may have been executed and must not run twice. A client that
 * has left may send its identifier again, while an endpoint still executes the request or has done so.
 *
 * <p>An identifier is kept for a fixed time. If their memory is full the oldest one is forgotten, whose request has had
 * the longest time to end; never the newest.
 */
final class RecentRequestIds {
    /** An identifier beside its characters: two entries of collections, a record and a string, in bytes. */
    private static final int ID_OVERHEAD_BYTES = 160;

    private final double retentionMillis;
    private final MemoryHolding memory;
    private final long maxBytes;
    /** The oldest first. */
    private final ArrayDeque<Entry> entries = new ArrayDeque<>();

    private final Set<String> ids = new HashSet<>();

    private record Entry(String id, double expiresAtMillis) {
        private long heapBytes() {
            return ID_OVERHEAD_BYTES + (long) id.length();
        }
    }

    /**
     * Creates an empty memory of identifiers.
     *
     * @param retentionMillis how long an identifier is kept
     * @param memory what they take
     * @param maxBytes how much they may take
     */
    RecentRequestIds(double retentionMillis, MemoryHolding memory, long maxBytes) {
        this.retentionMillis = retentionMillis;
        this.memory = memory;
        this.maxBytes = maxBytes;
    }

    /** Keeps an identifier, unless it is kept already. */
    void add(String id, double nowMillis) {
        forgetExpired(nowMillis);
        if (ids.add(id)) {
            Entry entry = new Entry(id, nowMillis + retentionMillis);
            entries.addLast(entry);
            memory.resize(memory.bytes() + entry.heapBytes());
        }
        while (memory.bytes() > maxBytes && entries.size() > 1) {
            forgetOldest();
        }
    }

    /** Returns true if this identifier is kept. */
    boolean contains(String id, double nowMillis) {
        forgetExpired(nowMillis);
        return ids.contains(id);
    }

    private void forgetExpired(double nowMillis) {
        while (!entries.isEmpty() && entries.peekFirst().expiresAtMillis() <= nowMillis) {
            forgetOldest();
        }
    }

    private void forgetOldest() {
        Entry oldest = entries.pollFirst();
        ids.remove(oldest.id());
        memory.resize(memory.bytes() - oldest.heapBytes());
    }
}
