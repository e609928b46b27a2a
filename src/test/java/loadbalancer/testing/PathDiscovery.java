package loadbalancer.testing;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A discovery service on loopback that is in order: it answers each call at once and tells each change. What it writes
 * passes a {@link NetworkPath} of its own for each connection.
 */
public final class PathDiscovery implements AutoCloseable {
    private static final long LINE_INTERVAL_MILLIS = 2000;
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
            if (emptyLine != null) {
                emptyLine.cancel(false);
            }
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

        private void deliverNext() {
            try {
                wire.text(underway.remove());
            } catch (IOException callerLeft) {
                open.remove(this);
                emptyLine.cancel(false);
            }
        }
    }

    private final EndpointRegistry registry;
    private final IntFunction<PathTreatment> paths;
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    /** All calls in their order; only the scheduler's thread uses this and what follows. */
    private final List<Watch> calls = new ArrayList<>();

    private final List<Watch> open = new ArrayList<>();
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
        this.server = new FakeServer((request, wire) -> scheduler.execute(() -> answer(request.line(), wire)));
        PauseDetector.start(scheduler, MIN_PAUSE_MILLIS, millis -> stoodStillMillis += millis);
    }

    private double now() {
        return (System.nanoTime() - startNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    private void answer(String requestLine, FakeServer.Connection wire) {
        Watch watch = new Watch(wire, new NetworkPath(paths.apply(calls.size()), now()));
        calls.add(watch);
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
