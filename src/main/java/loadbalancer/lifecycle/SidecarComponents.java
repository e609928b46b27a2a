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
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.upstream.EndpointPool;

/**
 * The components of one sidecar, made but idle.
 *
 * @param start begins to serve; run on the event loop once the server listens
 */
public record SidecarComponents(
        ClientServer server, RequestDispatcher dispatcher, DiscoveryClient discovery, Runnable start) {
    /** Sixteenths of the descriptors: clients use a third for requests, and bad ones need room to be rejected. */
    private static final int CLIENT_SHARE = 7;
    /** As many as clients have requests, and some idle. The rest is for the JVM, the listener and discovery. */
    private static final int ENDPOINT_SHARE = 6;

    private static final int SHARES = 16;
    /** How long a start waits for a pushed list; with the agent out of reach the last known one must do. */
    private static final long MAX_LIST_WAIT_MILLIS = 2000;

    /**
     * Makes the components, with this clock and this kind of connections to endpoints. Discovery is not asked before a
     * failed bind could still end the process.
     */
    public static SidecarComponents create(
            Configuration configuration,
            ObjectMapper mapper,
            EventLoop loop,
            Clock clock,
            Class<? extends Channel> channels,
            Consumer<String> log) {
        EndpointPool pool = new EndpointPool(
                loop,
                channels,
                clock,
                configuration.connectTimeoutMillis(),
                configuration.endpointIdleMillis(),
                descriptors(configuration, ENDPOINT_SHARE));
        RequestDispatcher dispatcher =
                new RequestDispatcher(loop, clock, configuration.settings(), configuration.seed(), pool, log);
        DiscoveryClient discovery = new DiscoveryClient(
                loop,
                NioSocketChannel.class,
                clock,
                mapper,
                new DiscoverySettings(
                        configuration.discoveryAddress(),
                        configuration.settings(),
                        configuration.seed(),
                        configuration.lastKnownList()),
                dispatcher,
                log);
        ClientServer server = new ClientServer(
                loop, clock, dispatcher, configuration.settings(), descriptors(configuration, CLIENT_SHARE));
        return new SidecarComponents(
                server, dispatcher, discovery, () -> start(configuration, loop, server, dispatcher, discovery));
    }

    private static int descriptors(Configuration configuration, int share) {
        return Math.max(1, configuration.maxDescriptors() * share / SHARES);
    }

    private static void start(
            Configuration configuration,
            EventLoop loop,
            ClientServer server,
            RequestDispatcher dispatcher,
            DiscoveryClient discovery) {
        if (configuration.settings().endpointListPolled()) {
            server.markReady();
        } else {
            // The sidecar counts as notified of what the local agent has from the start: the list of the file is not
            // to be used before the agent's has come, unless there is none to be had.
            dispatcher.onFirstList(server::markReady);
            loop.schedule(server::markReady, MAX_LIST_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
        dispatcher.start(discovery::watch, configuration.lastKnownList());
    }
}
