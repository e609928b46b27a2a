package loadbalancer.lifecycle;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.configuration.Configuration;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.DiscoverySettings;
import loadbalancer.downstream.ClientServer;
import loadbalancer.eventloop.Clock;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.upstream.EndpointPool;

/**
 * The components of one sidecar, constructed but idle.
 *
 * @param server accepts the application's connections
 * @param dispatcher takes requests from admission to their responses
 * @param discovery watches the endpoint list
 * @param memory what peers can make the process hold
 * @param startDiscovery requests the endpoint list; to be run on the event loop, early since the list may be long in
 *     coming
 * @param start begins to serve; to be run on the event loop once the server listens
 */
public record SidecarComponents(
        ClientServer server,
        RequestDispatcher dispatcher,
        DiscoveryClient discovery,
        MemoryBudget memory,
        Runnable startDiscovery,
        Runnable start) {
    /** Sixteenths of the descriptors: requests need a third, and invalid clients some more to be rejected. */
    private static final int CLIENT_DESCRIPTOR_SIXTEENTHS = 7;
    /** As many as clients have requests, and some idle. The rest is for the JVM, listener and discovery. */
    private static final int ENDPOINT_DESCRIPTOR_SIXTEENTHS = 6;

    private static final int SIXTEENTHS = 16;
    private static final long MEMORY_CHECK_INTERVAL_MILLIS = 1000;
    /** How long a start waits for a pushed list; if the agent is unreachable, the last known list is used. */
    private static final long MAX_LIST_WAIT_MILLIS = 2000;

    /**
     * Constructs the components. None of them opens a connection before {@link #startDiscovery} runs.
     *
     * @param configuration the validated configuration
     * @param mapper the parser of endpoint lists
     * @param loop the event loop that all components run on
     * @param clock the clock of all components
     * @param channels the channel type of connections to endpoints
     * @param log receives one line for each noteworthy event
     */
    public static SidecarComponents create(
            Configuration configuration,
            ObjectMapper mapper,
            EventLoop loop,
            Clock clock,
            Class<? extends Channel> channels,
            Consumer<String> log) {
        int clientConnections = descriptors(configuration, CLIENT_DESCRIPTOR_SIXTEENTHS);
        int endpointConnections = descriptors(configuration, ENDPOINT_DESCRIPTOR_SIXTEENTHS);
        MemoryBudget memory =
                MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory(), clientConnections + endpointConnections);
        EndpointPool pool = new EndpointPool(
                loop,
                channels,
                clock,
                configuration.connectTimeoutMillis(),
                configuration.endpointIdleMillis(),
                endpointConnections,
                memory);
        RequestDispatcher dispatcher =
                new RequestDispatcher(loop, clock, configuration.settings(), configuration.seed(), pool, memory, log);
        DiscoveryClient discovery = new DiscoveryClient(
                loop,
                NioSocketChannel.class,
                clock,
                mapper,
                new DiscoverySettings(
                        configuration.discoveryAddress(),
                        configuration.settings(),
                        configuration.seed(),
                        configuration.lastKnownList(),
                        dispatcher.discoveryCalls(),
                        memory),
                dispatcher,
                log);
        ClientServer server =
                new ClientServer(loop, clock, dispatcher, configuration.settings(), clientConnections, memory);
        logMemoryPressure(loop, new MemoryPressureLog(memory, clock, log));
        return new SidecarComponents(
                server,
                dispatcher,
                discovery,
                memory,
                () -> dispatcher.startDiscovery(discovery::watch, configuration.lastKnownList()),
                () -> start(configuration, loop, server, dispatcher));
    }

    private static void logMemoryPressure(EventLoop loop, MemoryPressureLog pressure) {
        loop.scheduleAtFixedRate(
                pressure, MEMORY_CHECK_INTERVAL_MILLIS, MEMORY_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static int descriptors(Configuration configuration, int sixteenths) {
        return Math.max(1, configuration.maxDescriptors() * sixteenths / SIXTEENTHS);
    }

    private static void start(
            Configuration configuration, EventLoop loop, ClientServer server, RequestDispatcher dispatcher) {
        dispatcher.start();
        if (configuration.settings().endpointListPolled()) {
            server.markReady();
        } else {
            // The local agent's list counts as known to the sidecar from the start, so the configured list must not be
            // used before the agent's has come, unless the agent does not answer in time.
            dispatcher.onFirstList(server::markReady);
            loop.schedule(server::markReady, MAX_LIST_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
