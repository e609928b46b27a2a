package cobaltrack.sidecar;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The command line: {@code serve} runs a real sidecar, {@code check} only starts one and stops it again, {@code
 * train} is run by the build for the class archive, and {@code benchlink} is the simulator's adapter.
 */
public final class Main {
    /**
     * Sixteenths of the descriptors: clients hold a third for requests, and there must be room to turn bad
     * ones away.
     */
    private static final int CLIENT_SHARE = 7;
    /**
     * As many as clients hold requests, and some idle. The rest is for the JVM's files, the listener and
     * discovery.
     */
    private static final int ENDPOINT_SHARE = 6;

    private static final int SHARES = 16;
    /** How long a start waits for a pushed list; with the agent out of reach the last one known must do. */
    private static final long MAX_LIST_WAIT_MS = 2000;

    private static final Consumer<String> LOG = System.err::println;

    private Main() {}

    /** Runs one of them; exits with 2 on bad usage and 1 on bad configuration. */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "benchlink" -> cobaltrack.benchlink.Main.main(args);
            case "serve" -> start(configuration(), false);
            case "check" -> start(configuration(), true);
            case "train" -> ArchiveTraining.run(configuration());
            default -> {
                System.err.println("usage: java -jar cobaltrack.jar serve | check | train | benchlink");
                System.exit(2);
            }
        }
    }

    /**
     * Starts a sidecar from this file, or ends the process by saying in one line why it can't; what drains it
     * again, as SIGTERM does.
     */
    static Runnable start(String path, boolean onlyCheck) {
        ObjectMapper mapper = new ObjectMapper();
        try {
            Config config = Config.read(path, mapper);
            LoopActivity activity = new LoopActivity();
            EventLoop loop = eventLoop(activity);
            Clock clock = new Clock();
            Parts parts = wire(config, mapper, loop, clock, NioSocketChannel.class);
            BusyLoopDetector.start(loop, activity, clock, LOG);
            Warmup.run(config.settings());
            Reload reload = new Reload(path, mapper, parts.discovery, LOG);
            // On the loop, which owns the watch and takes several in their order.
            HangupSignal.handle(() -> loop.execute(reload));
            parts.server.listen(config.listen()).syncUninterruptibly();
            if (onlyCheck) {
                System.exit(0);
            }
            // Before the first request can come.
            Runnable drain = () -> drain(loop, parts.server);
            Runtime.getRuntime().addShutdownHook(new Thread(drain, "drain"));
            loop.execute(parts.start);
            return drain;
        } catch (IllegalArgumentException e) {
            return quit("configuration: " + e.getMessage());
        } catch (Exception e) {
            // What the future throws of a failed bind is a checked exception that it does not declare.
            return quit("cannot start: " + e.getMessage());
        }
    }

    /** A loop of its own thread, which counts what it does in this activity. */
    static EventLoop eventLoop(LoopActivity activity) {
        return new MultiThreadIoEventLoopGroup(1, CoarseTimerIoHandler.newFactory(activity)).next();
    }

    private static String configuration() {
        String path = System.getenv("PROXY_CONFIG");
        if (path == null || path.isEmpty()) {
            return quit("configuration: PROXY_CONFIG is not set");
        }
        return path;
    }

    /** The parts, made but idle; {@code start} is run on the loop once the server listens. */
    record Parts(ClientServer server, Sidecar sidecar, Discovery discovery, Runnable start) {}

    /**
     * Makes the parts, with this clock and this kind of connections to endpoints. Nothing is asked of discovery
     * before a failed bind could still end the process.
     */
    static Parts wire(
            Config config, ObjectMapper mapper, EventLoop loop, Clock clock, Class<? extends Channel> channels) {
        EndpointPool pool = new EndpointPool(
                loop,
                channels,
                clock,
                config.connectTimeout(),
                config.endpointIdle(),
                Math.max(1, config.sockets() * ENDPOINT_SHARE / SHARES));
        Sidecar sidecar = new Sidecar(loop, clock, config.settings(), config.seed(), pool, LOG);
        Discovery discovery = new Discovery(
                loop,
                NioSocketChannel.class,
                clock,
                config.discovery(),
                mapper,
                config.settings(),
                config.seed(),
                config.known(),
                sidecar,
                LOG);
        ClientServer server = new ClientServer(
                loop, clock, sidecar, config.settings(), Math.max(1, config.sockets() * CLIENT_SHARE / SHARES));
        return new Parts(server, sidecar, discovery, () -> {
            if (config.settings().listMustBeAsked()) {
                server.ready();
            } else {
                // What the local agent has counts as told from the start: the list that the file brings is not
                // to be served by before the agent's has come, unless there is none to be had.
                sidecar.whenListed(server::ready);
                loop.schedule(server::ready, MAX_LIST_WAIT_MS, TimeUnit.MILLISECONDS);
            }
            sidecar.start(discovery::watch, config.known());
        });
    }

    /** Runs while the process ends on SIGTERM: it goes on for as long as this has not returned. */
    private static void drain(EventLoop loop, ClientServer server) {
        CountDownLatch drained = new CountDownLatch(1);
        loop.execute(() -> server.drain(drained::countDown));
        try {
            drained.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static <T> T quit(String why) {
        System.err.println("cobaltrack: " + why);
        System.exit(1);
        return null;
    }
}
