package loadbalancer.faultsearch;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import loadbalancer.configuration.Configuration;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.DiscoverySettings;
import loadbalancer.eventloop.Clock;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.memory.MemoryUse;
import loadbalancer.proxy.ClientRequest;
import loadbalancer.proxy.RequestBody;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.proxy.ResponseListener;
import loadbalancer.upstream.EndpointPool;
import loadbalancer.upstream.UpstreamResponse;

/** The program's dispatcher, policy, endpoint pool and discovery client as one process in virtual time. */
final class VirtualSidecar {
    private final MemoryBudget memory = MemoryBudget.unlimited();
    private static final int CONNECT_TIMEOUT_MILLIS = 250;
    private static final int IDLE_MILLIS = 60_000;
    private static final int MAX_CONNECTIONS = 64;
    private static final double REQUEST_TIMEOUT_MILLIS = 1000;
    private static final double MAX_LIST_WAIT_MILLIS = 2000;

    private final VirtualLoop loop;
    private final VirtualClock clock;
    private final RequestDispatcher dispatcher;
    private final DiscoveryClient discovery;
    private final List<String> log = new ArrayList<>();
    private boolean ready;
    private int requests;

    VirtualSidecar(VirtualLoop loop, VirtualClock clock, Configuration configuration, ObjectMapper mapper) {
        this.loop = loop;
        this.clock = clock;
        Clock programClock = new Clock(clock::nanoTime, () -> (long) (VirtualRun.UNIX_MILLIS + clock.millis()));
        EndpointPool pool = new EndpointPool(
                loop, VirtualChannel.class, programClock, CONNECT_TIMEOUT_MILLIS, IDLE_MILLIS, MAX_CONNECTIONS, memory);
        this.dispatcher = new RequestDispatcher(
                loop, programClock, configuration.settings(), configuration.seed(), pool, memory, this::log);
        this.discovery = new DiscoveryClient(
                loop,
                VirtualChannel.class,
                programClock,
                mapper,
                new DiscoverySettings(
                        configuration.discoveryAddress(),
                        configuration.settings(),
                        configuration.seed(),
                        configuration.lastKnownList(),
                        dispatcher.discoveryCalls(),
                        memory),
                dispatcher,
                this::log);
        loop.execute(() -> start(configuration));
    }

    // As the program does it: with pushed lists it is ready with the first one, or after a while without.
    private void start(Configuration configuration) {
        dispatcher.startDiscovery(discovery::watch, configuration.lastKnownList());
        dispatcher.start();
        if (configuration.settings().endpointListPolled()) {
            ready = true;
        } else {
            dispatcher.onFirstList(() -> ready = true);
            loop.after(MAX_LIST_WAIT_MILLIS, () -> ready = true);
        }
    }

    private void log(String line) {
        log.add(String.format(Locale.ROOT, "%9.1f log: %s", clock.millis(), line));
    }

    VirtualLoop loop() {
        return loop;
    }

    List<String> log() {
        return log;
    }

    void moveTo(InetSocketAddress address) {
        loop.execute(() -> discovery.migrate(address));
    }

    /** Sends a request, if the process is ready. */
    void request() {
        loop.execute(() -> {
            if (ready) {
                dispatcher.admit(
                        new ClientRequest(
                                "r" + requests++,
                                0,
                                -1,
                                REQUEST_TIMEOUT_MILLIS,
                                false,
                                HttpMethod.GET,
                                "/api",
                                new DefaultHttpHeaders()),
                        new RequestBody(new byte[0], memory.newHolding(MemoryUse.PENDING_REQUESTS)),
                        0,
                        IGNORED_RESPONSE);
            }
        });
    }

    private static final ResponseListener IGNORED_RESPONSE = new ResponseListener() {
        @Override
        public void succeeded(UpstreamResponse response) {}

        @Override
        public void rejected(double retryAfterMillis) {}

        @Override
        public void failed() {}
    };
}
