package loadbalancer.lifecycle;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import loadbalancer.configuration.Configuration;
import loadbalancer.configuration.ConfigurationException;
import loadbalancer.eventloop.BusyLoopDetector;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.EventLoops;
import loadbalancer.eventloop.LoopActivity;

/** A sidecar as this process: its event loop, its signals, and its components. */
public final class SidecarProcess {
    private static final Consumer<String> LOG = System.err::println;

    private final EventLoop loop;
    private final SidecarComponents components;

    private SidecarProcess(EventLoop loop, SidecarComponents components) {
        this.loop = loop;
        this.components = components;
    }

    /**
     * Reads the configuration, warms up and listens, without serving yet.
     *
     * @param path the configuration file
     * @return the process, ready to serve
     * @throws ConfigurationException if the file can't be used
     * @throws StartupException if the process can't do what the file asks for
     */
    public static SidecarProcess prepare(String path) throws ConfigurationException, StartupException {
        ObjectMapper mapper = new ObjectMapper();
        Configuration configuration = Configuration.read(path, mapper);
        try {
            LoopActivity activity = new LoopActivity();
            EventLoop loop = EventLoops.newEventLoop(activity);
            Clock clock = new Clock();
            SidecarComponents components =
                    SidecarComponents.create(configuration, mapper, loop, clock, NioSocketChannel.class, LOG);
            BusyLoopDetector.start(loop, activity, clock, LOG);
            Warmup.run(configuration.settings());
            ConfigurationReload reload = new ConfigurationReload(path, mapper, components.discovery(), LOG);
            // On the loop, which owns the watch and runs consecutive reloads in order.
            HangupSignal.handle(() -> loop.execute(reload));
            components.server().listen(configuration.listenAddress()).syncUninterruptibly();
            return new SidecarProcess(loop, components);
        } catch (Exception e) {
            // The future of a failed bind throws a checked exception that it does not declare.
            throw new StartupException(e);
        }
    }

    /** Serves until SIGTERM, upon which the process shuts down gracefully. Returns at once. */
    public void serve() {
        // Registered before the first request can come.
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "shutdown"));
        loop.execute(components.start());
    }

    /** Shuts down gracefully, as SIGTERM does, and returns once that is done. */
    void shutDown() {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> components.server().shutDown(done::countDown));
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
