package loadbalancer.lifecycle;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import loadbalancer.configuration.Configuration;
import loadbalancer.configuration.ConfigurationException;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.EventLoops;
import loadbalancer.eventloop.LoopActivity;

/** A sidecar as this process: its event loop, its signals, and its components. */
public final class SidecarProcess {
    private static final long LOOP_CHECK_MILLIS = 100;

    private final HangupSignal hangups;
    private final String path;
    private final ObjectMapper mapper;
    private final Configuration configuration;
    private final EventLoop loop;
    private final SidecarComponents components;
    private final StartupLog log = new StartupLog(System.err::println);

    private SidecarProcess(
            HangupSignal hangups,
            String path,
            ObjectMapper mapper,
            Configuration configuration,
            FatalErrorHandler fatalErrors) {
        this.hangups = hangups;
        this.path = path;
        this.mapper = mapper;
        this.configuration = configuration;
        this.loop = EventLoops.newEventLoop(new LoopActivity(), fatalErrors);
        Clock clock = new Clock();
        this.components = SidecarComponents.create(configuration, mapper, loop, clock, NioSocketChannel.class, log);
        fatalErrors.setMemory(components.memory());
    }

    /**
     * Handles SIGHUP and reads the configuration, without opening a connection yet.
     *
     * @param path the configuration file
     * @param endProcess ends the process at once, without its shutdown hooks, after an {@link Error}
     * @throws ConfigurationException if the file can't be used
     * @throws StartupException if the process lacks resources
     */
    public static SidecarProcess create(String path, Runnable endProcess)
            throws ConfigurationException, StartupException {
        try {
            // First of all, since the signal may arrive at any moment and would end the process.
            HangupSignal hangups = HangupSignal.handle();
            FatalErrorHandler fatalErrors = new FatalErrorHandler(endProcess);
            fatalErrors.install();
            ObjectMapper mapper = new ObjectMapper();
            return new SidecarProcess(hangups, path, mapper, Configuration.read(path, mapper), fatalErrors);
        } catch (ReflectiveOperationException | RuntimeException e) {
            throw new StartupException(e);
        }
    }

    /**
     * Does all that a start does up to listening, but calls no discovery.
     *
     * @throws StartupException if the process can't do what its configuration asks for
     */
    public void check() throws StartupException {
        warmUpAndListen();
        log.release();
    }

    private void warmUpAndListen() throws StartupException {
        try {
            if (hangups.ignored()) {
                log.accept("SIGHUP is ignored, as by nohup: the configuration can't be reloaded");
            }
            Warmup.run(configuration.settings());
            components.server().listen(configuration.listenAddress()).syncUninterruptibly();
        } catch (Exception e) {
            // The future of a failed bind throws a checked exception that it does not declare.
            throw new StartupException(e);
        }
    }

    /**
     * Serves until SIGTERM, upon which the process shuts down gracefully. Returns once the process serves.
     *
     * @throws StartupException if the process can't do what its configuration asks for
     */
    public void serve() throws StartupException {
        String memoryWarning = MemoryLimit.warning(configuration.memoryMegabytes());
        if (memoryWarning != null) {
            log.accept(memoryWarning);
        }
        // Before the warm-up: a crowded discovery may take seconds to answer.
        loop.execute(components.startDiscovery());
        ConfigurationReload reload = new ConfigurationReload(path, mapper, components.discovery(), log);
        // On the loop, which owns the watch and runs consecutive reloads in order.
        hangups.onSignal(() -> loop.execute(reload));
        warmUpAndListen();
        // Registered before the first request can come.
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "shutdown"));
        loop.execute(components.start());
        log.release();
    }

    /** Returns the event loop that everything runs on. */
    EventLoop loop() {
        return loop;
    }

    /** Shuts down gracefully, as SIGTERM does, and returns once that is done, or at once if the loop has ended. */
    void shutDown() {
        CountDownLatch done = new CountDownLatch(1);
        try {
            loop.execute(() -> components.server().shutDown(() -> {
                log.accept("shut down; " + components.dispatcher().summary());
                done.countDown();
            }));
            boolean finished = false;
            while (!finished && !loop.isShuttingDown()) {
                finished = done.await(LOOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            }
        } catch (RejectedExecutionException e) {
            log.accept("shut down without answering: the event loop has ended");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
