package loadbalancer.lifecycle;

import java.util.function.Consumer;
import loadbalancer.eventloop.Clock;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.memory.MemoryUse;

/** Logs when peers begin to be refused for want of memory, what is held while it lasts, and when it is over. */
final class MemoryPressureLog implements Runnable {
    private static final double LINE_INTERVAL_MILLIS = 5000;
    private static final long BYTES_PER_KILOBYTE = 1024;

    private final MemoryBudget memory;
    private final Clock clock;
    private final Consumer<String> log;
    private long refusalsLogged;
    private double lineAtMillis = Double.NEGATIVE_INFINITY;
    private boolean memoryShort;

    /** A log of this budget, whose task is to be run each second or so. */
    MemoryPressureLog(MemoryBudget memory, Clock clock, Consumer<String> log) {
        this.memory = memory;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public void run() {
        double nowMillis = clock.now();
        if (nowMillis - lineAtMillis < LINE_INTERVAL_MILLIS) {
            return;
        }
        long refusals = memory.refusals();
        boolean refused = refusals > refusalsLogged;
        if (refused) {
            writeLine("memory is short: refused " + (refusals - refusalsLogged) + ", " + heldText(), nowMillis);
        } else if (memoryShort) {
            writeLine("memory is no longer short: refused " + refusals + " in all, " + heldText(), nowMillis);
        }
        memoryShort = refused;
        refusalsLogged = refusals;
    }

    private void writeLine(String line, double nowMillis) {
        lineAtMillis = nowMillis;
        log.accept(line);
    }

    private String heldText() {
        StringBuilder text = new StringBuilder("held " + kilobytes(memory.heldBytes()) + " of "
                + kilobytes(memory.capacityBytes()) + " KB, " + kilobytes(memory.peakBytes()) + " at most");
        for (MemoryUse use : MemoryUse.values()) {
            if (memory.heldBytes(use) > 0 || memory.refusals(use) > 0) {
                text.append("; ")
                        .append(use.label())
                        .append(' ')
                        .append(kilobytes(memory.heldBytes(use)))
                        .append(" KB, refused ")
                        .append(memory.refusals(use));
            }
        }
        return text.toString();
    }

    private static long kilobytes(long bytes) {
        return bytes / BYTES_PER_KILOBYTE;
    }
}
