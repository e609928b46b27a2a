package loadbalancer.lifecycle;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.discovery.EndpointList;
import loadbalancer.downstream.ClientServer;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.EventLoops;
import loadbalancer.eventloop.LoopActivity;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointStatus;
import loadbalancer.policy.PolicySettings;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.upstream.EndpointPool;

/**
 * Sends requests through all components before the sidecar is ready, because a JVM that still loads and compiles
 * classes on a shared core answers the requests of its first seconds late. The requests go through components of the
 * warm-up's own, over loopback sockets: over in-memory channels the socket code was not compiled, and the loop stalled
 * for up to half a second afterwards. It takes two free ports for as long; without them it is skipped.
 */
final class Warmup {
    /** The JIT compiler takes up a method after 200 calls; a request calls most methods several times. */
    private static final int REQUESTS = 600;
    /** On a very small fraction of a core, serving without a full warm-up is better than starting late. */
    private static final int MAX_DURATION_MILLIS = 1500;

    private static final int MAX_CONNECTIONS = 8;
    private static final String ENDPOINT_NAME = "warm";

    private final EventLoop loop = EventLoops.newEventLoop(new LoopActivity());
    private final PolicySettings settings;
    private final WarmupClient client;

    private Warmup(PolicySettings settings) {
        this.settings = settings;
        this.client = new WarmupClient(settings.classes(), REQUESTS);
    }

    /**
     * Runs requests of all classes until they are complete or {@value #MAX_DURATION_MILLIS} ms are over.
     *
     * @return the number of the last request that was served, or 0 if none was
     */
    static int run(PolicySettings settings) {
        return new Warmup(settings).run();
    }

    private int run() {
        Clock clock = new Clock();
        MemoryBudget memory = MemoryBudget.unlimited();
        EndpointPool pool = new EndpointPool(
                loop, NioSocketChannel.class, clock, MAX_DURATION_MILLIS, MAX_DURATION_MILLIS, MAX_CONNECTIONS, memory);
        RequestDispatcher dispatcher = new RequestDispatcher(loop, clock, settings, 0, pool, memory, line -> {});
        ClientServer server = new ClientServer(loop, clock, dispatcher, settings, MAX_CONNECTIONS, memory);
        SocketAddress freePort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        ChannelFuture endpoint = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new WarmupEndpoint())
                .bind(freePort)
                .awaitUninterruptibly();
        ChannelFuture listener = server.listen(freePort).awaitUninterruptibly();
        if (endpoint.isSuccess() && listener.isSuccess()) {
            startDispatcher(dispatcher, endpoint.channel().localAddress());
            sendRequests(listener.channel().localAddress());
        }
        loop.parent().shutdownGracefully(0, MAX_DURATION_MILLIS, TimeUnit.MILLISECONDS);
        return client.served();
    }

    private void startDispatcher(RequestDispatcher dispatcher, SocketAddress endpointAddress) {
        Endpoint endpoint = new Endpoint(ENDPOINT_NAME, EndpointStatus.READY, 1, "", 0, 0);
        EndpointList list = new EndpointList(0, true, List.of(new EndpointList.Entry(endpoint, endpointAddress)));
        loop.execute(() -> {
            dispatcher.startDiscovery(() -> {}, list);
            dispatcher.start();
        });
    }

    private void sendRequests(SocketAddress listenAddress) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(client)
                .connect(listenAddress);
        try {
            if (!client.awaitCompletion(MAX_DURATION_MILLIS)) {
                loop.execute(client::stop);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
