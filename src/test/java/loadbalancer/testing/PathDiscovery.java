package loadbalancer.testing;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A discovery service on loopback that answers each call and tells each change, unless its calls are treated in another
 * way. What it writes passes a {@link NetworkPath} of its own for each connection.
 */
public final class PathDiscovery implements AutoCloseable {
    /** What becomes of a call. */
    public enum CallTreatment {
        /** The list, and then a watch. */
        ANSWERED,
        /** The list, and then the end of the response in order. */
        ENDED_AFTER_LIST,
        /** Not a byte comes, and the connection stays open. */
        NEVER_ANSWERED
    }

    private static final long LINE_INTERVAL_MILLIS = 2000;
    /** From the list of a watch to its end, where watches end after their lists. */
    private static final long END_AFTER_MILLIS = 200;

    private static final long MIN_PAUSE_MILLIS = 100;
    private static final Pattern AFTER = Pattern.compile("after=(\\d+)");

    /** One call. What is under way to the caller arrives in the order in which it was written. */
    private final class Watch {
        private final FakeServer.Connection wire;
        private final NetworkPath path;
        private final Queue<String> underway = new ArrayDeque<>();
        private long writtenVersion;
        private ScheduledFuture<?> emptyLine;

        Watch(FakeServer.Connection wire, NetworkPath path) {
            this.wire = wire;
            this.path = path;
        }

        void answer(String list) {
            writtenVersion = registry.version();
            write(FakeServer.CHUNKED_HEAD);
            writeLine(list + "\n");
        }

        void tellChanges() {
            String changes = registry.changesAfter(writtenVersion) + "\n";
            writtenVersion = registry.version();
            writeLine(changes);
        }

        private void writeLine(String line) {
            write(FakeServer.chunk(line));
            cancelEmptyLine();
            emptyLine = scheduler.schedule(() -> writeLine("\n"), LINE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void write(String text) {
            double now = now();
            double arrivalMillis = path.arrivalMillis(now, text.length());
            if (Double.isFinite(arrivalMillis)) {
                underway.add(text);
                scheduler.schedule(this::deliverNext, (long) Math.ceil(arrivalMillis - now), TimeUnit.MILLISECONDS);
            }
        }

        private void cancelEmptyLine() {
            if (emptyLine != null) {
                emptyLine.cancel(false);
            }
        }

        private void deliverNext() {
            try {
                wire.text(underway.remove());
            } catch (IOException callerLeft) {
                leave();
            }
        }

        private void leave() {
            open.remove(this);
            cancelEmptyLine();
        }

        private void end() {
            leave();
            write(FakeServer.LAST_CHUNK);
            ended.release();
        }

        private void reset() {
            leave();
            try {
                wire.reset();
            } catch (IOException callerLeft) {
                // It is closed already.
            }
        }
    }

    private final EndpointRegistry registry;
    private final IntFunction<PathTreatment> paths;
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    /** All calls in their order; only the scheduler's thread uses this and what follows. */
    private final List<Watch> calls = new ArrayList<>();

    private final List<Watch> open = new ArrayList<>();
    /** What becomes of the next calls in turn, before the treatment of all further ones. */
    private final Queue<CallTreatment> nextTreatments = new ArrayDeque<>();

    private CallTreatment treatment = CallTreatment.ANSWERED;
    private long answerAfterMillis;
    /** One permit for each watch that has ended after its list. */
    private final Semaphore ended = new Semaphore(0);

    private final FakeServer server;
    private final long startNanos = System.nanoTime();
    private volatile double stoodStillMillis;

    /**
     * A service that knows these endpoints.
     *
     * @param paths the treatment of what is written on each connection, by its number from 0
     */
    public PathDiscovery(EndpointRegistry registry, IntFunction<PathTreatment> paths) throws IOException {
        this.registry = registry;
        this.paths = paths;
        this.server = new FakeServer((request, wire) -> scheduler.execute(() -> called(request.line(), wire)));
        PauseDetector.start(scheduler, MIN_PAUSE_MILLIS, millis -> stoodStillMillis += millis);
    }

    private double now() {
        return (System.nanoTime() - startNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    private void called(String requestLine, FakeServer.Connection wire) {
        Watch watch = new Watch(wire, new NetworkPath(paths.apply(calls.size()), now()));
        calls.add(watch);
        CallTreatment treated = nextTreatments.isEmpty() ? treatment : nextTreatments.remove();
        if (treated == CallTreatment.NEVER_ANSWERED) {
            return;
        }
        if (answerAfterMillis > 0) {
            scheduler.schedule(() -> answer(watch, requestLine), answerAfterMillis, TimeUnit.MILLISECONDS);
        } else {
            answer(watch, requestLine);
        }
        if (treated == CallTreatment.ENDED_AFTER_LIST) {
            scheduler.schedule(watch::end, answerAfterMillis + END_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void answer(Watch watch, String requestLine) {
        open.add(watch);
        Matcher after = AFTER.matcher(requestLine);
        boolean known = after.find() && Long.parseLong(after.group(1)) <= registry.version();
        watch.answer(known ? registry.changesAfter(Long.parseLong(after.group(1))) : registry.wholeList());
    }

    /** Its address and port. */
    public String address() {
        return server.address();
    }

    /** Returns for how long this stand-in got no processor time so far. */
    public double stoodStillMillis() {
        return stoodStillMillis;
    }

    /** Returns how many calls have come so far. */
    public int calls() {
        return server.requests.size();
    }

    /** These endpoints change together, and all watches tell it. */
    public void change(EndpointRegistry.Host... changed) {
        scheduler.execute(() -> {
            registry.change(List.of(changed));
            List.copyOf(open).forEach(Watch::tellChanges);
        });
    }

    /** Does this between two calls and changes, such as several of the following together. */
    public void run(Runnable changes) {
        scheduler.execute(changes);
    }

    /** Does this after so long, like {@link #run}. */
    public void runAfter(long millis, Runnable changes) {
        scheduler.schedule(changes, millis, TimeUnit.MILLISECONDS);
    }

    /** Treats all calls like this from now on; to be called within {@link #run}. */
    public void treatCalls(CallTreatment next) {
        treatment = next;
    }

    /** Treats the next calls, so many of them, like this; to be called within {@link #run}. */
    public void treatNextCalls(int count, CallTreatment next) {
        nextTreatments.addAll(Collections.nCopies(count, next));
    }

    /** Answers each call after so long from now on; to be called within {@link #run}. */
    public void answerCallsAfter(long millis) {
        answerAfterMillis = millis;
    }

    /** Resets all open watches; to be called within {@link #run}. */
    public void resetWatches() {
        List.copyOf(open).forEach(Watch::reset);
    }

    /** Nothing arrives any more of what is written to the open watches; to be called within {@link #run}. */
    public void darkenWatches() {
        open.forEach(watch -> watch.path.goDark(now()));
    }

    /** Waits until another watch has ended after its list. */
    public void awaitWatchEnded() throws InterruptedException {
        if (!ended.tryAcquire(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("no watch ended");
        }
    }

    /** Nothing arrives any more of what is written from now on to the first call. */
    public void darkenFirstPath() {
        scheduler.execute(() -> calls.get(0).path.goDark(now()));
    }

    @Override
    public void close() throws IOException {
        scheduler.shutdownNow();
        server.close();
    }
}
