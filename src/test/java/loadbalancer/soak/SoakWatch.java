package loadbalancer.soak;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;

/** A call of one sidecar to discovery, on a path that may delay what is written to it. Times are in milliseconds. */
final class SoakWatch {
    /** How the path delays what is written. */
    private enum Delay {
        NONE,
        /** By the same time always. */
        CONSTANT,
        /** By a part of the age of the watch. */
        GROWING,
        /** Up to the end of a period, in which nothing comes. */
        BURSTS,
        /** For ever from some moment on. */
        FROZEN,
        /** By the length of what is written, which comes piece by piece. */
        THROTTLED
    }

    private static final List<Delay> SERVICE_DELAYS =
            List.of(Delay.CONSTANT, Delay.GROWING, Delay.BURSTS, Delay.FROZEN, Delay.THROTTLED);
    private static final List<Delay> AGENT_DELAYS = List.of(Delay.CONSTANT, Delay.FROZEN);
    private static final double MAX_AGENT_DELAY_FRACTION = 0.4;
    private static final int DELAYED_PERCENT = 45;
    private static final double MAX_CONSTANT_MILLIS = 7000;
    private static final double MAX_GROWTH = 0.9;
    private static final double MIN_PERIOD_MILLIS = 1000;
    private static final double MAX_BURST_MILLIS = 5000;
    private static final double MAX_LIFE_BEFORE_FREEZE_MILLIS = 6000;
    private static final double MIN_BYTES_PER_MILLI = 0.7;
    private static final double MAX_BYTES_PER_MILLI = 5;
    private static final int PIECE_BYTES = 100;

    /** Written at its time; with the last piece of a list the sidecar is told what that list retires. */
    private record Piece(String text, List<String> retired) {}

    private final int sidecar;
    private final FakeServer.Connection wire;
    private final SoakRecords records;
    private final ScheduledExecutorService scheduler;
    private final Delay delay;
    private final double amount;
    private final double maxConstantMillis;
    private final double openedMillis;
    private final Queue<Piece> unwritten = new ArrayDeque<>();
    private double lastDueMillis;
    private volatile boolean ended;

    /**
     * A call that has come now.
     *
     * @param localAgentGraceMillis the drain grace where the caller's local agent serves the call, whose path is late
     *     by a part of it at the most or falls silent; infinity at a shared service
     */
    SoakWatch(
            int sidecar,
            FakeServer.Connection wire,
            SoakRecords records,
            ScheduledExecutorService scheduler,
            Random random,
            double localAgentGraceMillis) {
        this.sidecar = sidecar;
        this.wire = wire;
        this.records = records;
        this.scheduler = scheduler;
        boolean localAgent = Double.isFinite(localAgentGraceMillis);
        this.delay = drawDelay(random, localAgent ? AGENT_DELAYS : SERVICE_DELAYS);
        this.amount = random.nextDouble();
        this.maxConstantMillis = localAgent ? localAgentGraceMillis * MAX_AGENT_DELAY_FRACTION : MAX_CONSTANT_MILLIS;
        this.openedMillis = records.now();
        if (localAgent && delay == Delay.FROZEN) {
            records.silent(sidecar, openedMillis + amount * MAX_LIFE_BEFORE_FREEZE_MILLIS);
        }
    }

    private static Delay drawDelay(Random random, List<Delay> delays) {
        Delay drawn = delays.get(random.nextInt(delays.size()));
        return random.nextInt(100) < DELAYED_PERCENT ? drawn : Delay.NONE;
    }

    /** Returns true once the caller has left. */
    boolean ended() {
        return ended;
    }

    /**
     * Writes the whole list as it is now, which comes after this time at the earliest.
     *
     * @param retired the endpoints that the list names as draining or leaves out
     */
    synchronized void answer(String list, List<String> retired, double afterMillis) {
        lastDueMillis = records.now() + afterMillis;
        enqueue(new Piece(FakeServer.CHUNKED_HEAD, List.of()));
        enqueueChunk(list, retired);
    }

    /** Ends the response in order, behind what has been written. */
    synchronized void end() {
        enqueue(new Piece(FakeServer.LAST_CHUNK, List.of()));
    }

    /** Writes a line, which comes as late as the path makes it. */
    synchronized void write(String line, List<String> retired) {
        double now = records.now();
        double delayMillis = delayMillis(now - openedMillis);
        if (Double.isInfinite(delayMillis)) {
            return;
        }
        // Bytes do not overtake each other.
        lastDueMillis = Math.max(lastDueMillis, now + delayMillis);
        enqueueChunk(line, retired);
    }

    private void enqueueChunk(String line, List<String> retired) {
        String frame = FakeServer.chunk(line);
        int pieceBytes = delay == Delay.THROTTLED ? PIECE_BYTES : frame.length();
        for (int from = 0; from < frame.length(); from += pieceBytes) {
            int to = Math.min(frame.length(), from + pieceBytes);
            if (delay == Delay.THROTTLED) {
                lastDueMillis = Math.max(lastDueMillis, records.now()) + (to - from) / bytesPerMilli();
            }
            enqueue(new Piece(frame.substring(from, to), to == frame.length() ? retired : List.of()));
        }
    }

    private double bytesPerMilli() {
        return MIN_BYTES_PER_MILLI + amount * (MAX_BYTES_PER_MILLI - MIN_BYTES_PER_MILLI);
    }

    // The queue keeps the order of pieces that are due at the same time.
    private void enqueue(Piece piece) {
        unwritten.add(piece);
        long delayMillis = Math.max(0, (long) (lastDueMillis - records.now()));
        scheduler.schedule(this::writeNext, delayMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized void writeNext() {
        Piece piece = unwritten.remove();
        try {
            wire.text(piece.text());
            piece.retired().forEach(endpoint -> records.told(sidecar, endpoint));
        } catch (IOException callerLeft) {
            ended = true;
        }
    }

    private double delayMillis(double ageMillis) {
        return switch (delay) {
            case NONE, THROTTLED -> 0;
            case CONSTANT -> amount * maxConstantMillis;
            case GROWING -> amount * MAX_GROWTH * ageMillis;
            case BURSTS -> {
                double periodMillis = MIN_PERIOD_MILLIS + amount * MAX_BURST_MILLIS;
                yield periodMillis - ageMillis % periodMillis;
            }
            case FROZEN -> ageMillis < amount * MAX_LIFE_BEFORE_FREEZE_MILLIS ? 0 : Double.POSITIVE_INFINITY;
        };
    }
}
