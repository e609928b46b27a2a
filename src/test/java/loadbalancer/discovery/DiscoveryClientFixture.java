package loadbalancer.discovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.configuration.Configuration;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.SelectBarrier;
import loadbalancer.eventloop.TurnTimeReadAllocator;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.policy.DiscoveryCallSchedule;
import loadbalancer.policy.WatchEvent;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ScarceSocket;
import loadbalancer.testing.TestSidecar;

/**
 * A discovery client on a loop of its own, whose events and log lines are recorded. Its clock stands still until a test
 * advances it, so that no watch reaches its idle timeout before.
 */
final class DiscoveryClientFixture implements DiscoveryClient.Listener, AutoCloseable {
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final AtomicLong nanos = new AtomicLong(1);
    private final AtomicReference<Runnable> clockHook = new AtomicReference<>();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final BlockingQueue<FakeServer.Connection> calls = new LinkedBlockingQueue<>();
    private final AtomicReference<Runnable> listHook = new AtomicReference<>(() -> {});
    final List<String> log = new CopyOnWriteArrayList<>();
    private DiscoveryClient client;

    @Override
    public void endpointsReceived(WatchEvent kind, EndpointList list) {
        List<String> ids =
                list.entries().stream().map(entry -> entry.endpoint().id()).toList();
        events.add(kind + " " + list.version() + " " + ids);
        listHook.get().run();
    }

    @Override
    public void watchFailed(WatchEvent reason) {
        events.add(loop.inEventLoop() ? reason.toString() : reason + " from another thread");
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** A discovery service that leaves each call to the test. */
    FakeServer newService() throws IOException {
        return new FakeServer((request, wire) -> calls.add(wire));
    }

    /** Starts a client and its first watch; {@code mode} is "ask" or "push". */
    void start(FakeServer service, String mode) throws Exception {
        ObjectMapper mapper = new ObjectMapper();
        Configuration configuration = Configuration.parse(
                TestSidecar.config("127.0.0.1:0", service.address(), 64)
                        .replace("\"discovery\":\"ask\"", "\"discovery\":\"" + mode + "\""),
                mapper);
        Clock clock = new Clock(this::clockNanos);
        DiscoveryCallSchedule schedule = CallSchedules.of(configuration.settings());
        // The term runs from now on.
        schedule.currency().confirmed(clock.now());
        DiscoverySettings settings = new DiscoverySettings(
                configuration.discoveryAddress(),
                configuration.settings(),
                configuration.seed(),
                configuration.lastKnownList(),
                schedule,
                MemoryBudget.unlimited());
        client = loop.submit(
                        () -> new DiscoveryClient(loop, ScarceSocket.class, clock, mapper, settings, this, log::add))
                .get();
        watch();
    }

    void watch() throws Exception {
        loop.submit(client::watch).get();
    }

    void migrate(FakeServer service) throws Exception {
        loop.submit(() -> client.migrate(SocketAddresses.parse(service.address())))
                .get();
    }

    /** Moves discovery in a turn of the loop in which this is done first, so that it is unread then. */
    void blockLoopAndMigrate(FakeServer service, Meanwhile meanwhile) throws Exception {
        loop.submit(() -> {
                    meanwhile.run();
                    client.migrate(SocketAddresses.parse(service.address()));
                    return null;
                })
                .get();
    }

    void advance(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** From now on this runs on the loop for each list that has come. */
    void onEachList(Runnable task) {
        listHook.set(task);
    }

    /** From now on this runs in each turn of the loop, behind what the turn has read. */
    void onEachTurn(Runnable task) {
        SelectBarrier.runAfterSelect(loop, () -> {
            task.run();
            onEachTurn(task);
        });
    }

    /** Waits until the loop has handled everything that it received before. */
    void awaitLoop() throws Exception {
        loop.submit(() -> {}).get();
    }

    /** Waits until the client has looked at its calls once more. */
    void awaitCheck() throws Exception {
        blockLoop(() -> {});
        awaitLoop();
    }

    /** What happens while the loop is blocked. */
    interface Meanwhile {
        void run() throws Exception;
    }

    /** Holds the loop up at its next look at the clock, but in a read, until this is done; what comes is unread. */
    void blockLoop(Meanwhile meanwhile) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        clockHook.set(() -> {
            blocked.countDown();
            awaitUninterrupted(release);
        });
        awaitUninterrupted(blocked);
        meanwhile.run();
        release.countDown();
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            if (!latch.await(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("never released");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private long clockNanos() {
        if (clockHook.get() != null && loop.inEventLoop() && !readTimed()) {
            clockHook.getAndSet(null).run();
        }
        return nanos.get();
    }

    // How long a read takes is no look of the client at its calls.
    private static boolean readTimed() {
        return StackWalker.getInstance()
                .walk(frames -> frames.anyMatch(
                        frame -> frame.getClassName().startsWith(TurnTimeReadAllocator.class.getName())));
    }

    FakeServer.Connection nextCall() throws InterruptedException {
        return next(calls);
    }

    String nextEvent() throws InterruptedException {
        return next(events);
    }

    /** The lines about lists that could not be used. */
    List<String> malformedListLines() {
        return log.stream().filter(line -> line.startsWith("malformed")).toList();
    }

    int pendingEvents() {
        return events.size();
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T item = queue.poll(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (item == null) {
            throw new AssertionError("nothing came");
        }
        return item;
    }
}
