package loadbalancer.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.eventloop.Clock;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.WatchEvent;

/**
 * The watch on the list of endpoints. Where discovery is asked, the module decides when to ask again after a
 * failure; where lists are pushed it does not ask at all, and the watch on the local agent is renewed here.
 */
public final class DiscoveryClient {
    /** Hears of lists, and of what keeps them from coming. */
    public interface Listener {
        void endpointsReceived(WatchEvent kind, EndpointList list);

        /** There is no watch any more: {@code FAILED}, {@code SILENT} or {@code MOVED}. */
        void watchFailed(WatchEvent why);
    }

    private static final String PATH = "/registry/instances";
    private static final int CONNECT_TIMEOUT_MS = 1000;
    /**
     * An empty line is due every 2 s, and what a silent watch misses counts as told 6 s after: one that shows no
     * life for this long is broken, which leaves time for another call that has to wait its turn. Chance spreads
     * the calls of all sidecars whose watches fell silent together.
     */
    private static final double SILENT_MS = 2600;

    private static final double SILENT_SPREAD_MS = 1000;
    private static final long LOOK_MS = 100;
    private static final double FIRST_BACKOFF_MS = 100;
    private static final double MAX_BACKOFF_MS = 4000;
    /** Of the grace that a drain allows: what the local agent has counts as told, whether it is heard or not. */
    private static final double PUSHED_SHARE = 0.2;

    private final EventLoop loop;
    private final Clock clock;
    private final ObjectMapper mapper;
    private final boolean pushed;
    private final double maxBackoff;
    private final Random random;
    private final Listener listener;
    private final Consumer<String> log;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private Long seq;
    /** The watch under way; others that have not ended yet are no longer heeded. */
    private Call current;

    private double backoff = FIRST_BACKOFF_MS;
    /** True from a list that can't be read to the next good one: it is told once. */
    private boolean spoilt;

    /** A watch that has not begun. {@code known} is the list to hear changes of, or null. */
    public DiscoveryClient(
            EventLoop loop,
            Class<? extends Channel> channels,
            Clock clock,
            InetSocketAddress address,
            ObjectMapper mapper,
            PolicySettings settings,
            long seed,
            EndpointList known,
            Listener listener,
            Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.address = address;
        this.mapper = mapper;
        this.pushed = !settings.endpointListPolled();
        this.maxBackoff = Math.min(MAX_BACKOFF_MS, Math.max(1, settings.rules().drainGraceMillis() * PUSHED_SHARE));
        this.random = new Random(seed);
        this.seq = known == null ? null : known.version();
        this.listener = listener;
        this.log = log;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(channels)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
        loop.scheduleAtFixedRate(this::lookForSilence, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void lookForSilence() {
        if (current != null && clock.now() - current.aliveAt > current.patience) {
            lost(current, WatchEvent.IDLE_TIMEOUT);
        }
    }

    /** Begins a watch, unless one is under way. */
    public void watch() {
        if (current != null) {
            return;
        }
        Call call = new Call(SILENT_MS + SILENT_SPREAD_MS * random.nextDouble());
        current = call;
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), call);
                    }
                })
                .connect(address);
        call.channel = connecting.channel();
        connecting.addListener(f -> {
            // On the loop: where no descriptor is left, another thread tells so, of a channel that never was.
            if (!f.isSuccess()) {
                loop.execute(() -> lost(call, WatchEvent.FAILED));
            }
        });
    }

    /**
     * Moves the watch to another address; the old list stands until the new one has come. The whole list is asked
     * for, since another service's versions may be counted otherwise, and no change must be missed. What failed
     * at the old address delays nothing at the new one.
     */
    public void migrate(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        seq = null;
        backoff = FIRST_BACKOFF_MS;
        // The end of the old watch is meant and no failure, and what it still has to say is out of date.
        Call old = current;
        current = null;
        if (old != null) {
            old.end();
        }
        if (pushed) {
            watch();
        } else {
            listener.watchFailed(WatchEvent.MOVED);
        }
    }

    // The one way on which a watch ends unmeant.
    private void lost(Call call, WatchEvent why) {
        if (call != current) {
            return;
        }
        current = null;
        call.end();
        if (!pushed) {
            listener.watchFailed(why);
        } else if (why == WatchEvent.IDLE_TIMEOUT) {
            watch();
        } else {
            loop.schedule(this::watch, (long) pushedWait(), TimeUnit.MILLISECONDS);
        }
    }

    /** How long to wait before the local agent is asked again. */
    double pushedWait() {
        double wait = Math.min(maxBackoff, backoff) * (0.5 + random.nextDouble());
        backoff *= 2;
        return wait;
    }

    /** The call itself: asks once connected, and reads lists until its connection ends or shows no life. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final double patience;
        private final EndpointListDecoder reader = new EndpointListDecoder(mapper);
        private double aliveAt = clock.now();
        private Channel channel;

        private Call(double patience) {
            this.patience = patience;
        }

        // With no descriptor left there is nothing to close, and the attempt would throw.
        private void end() {
            if (channel.isRegistered()) {
                channel.close();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            String uri = PATH + "?watch=1" + (seq == null ? "" : "&after=" + seq);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
            request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(address));
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (this != current) {
                return;
            }
            if (message.decoderResult().isFailure()
                    || message instanceof HttpResponse r && !r.status().equals(HttpResponseStatus.OK)) {
                lost(this, WatchEvent.FAILED);
                return;
            }
            if (message instanceof HttpContent part) {
                read(part);
            }
            if (message instanceof LastHttpContent) {
                lost(this, WatchEvent.FAILED);
            }
        }

        // Guards against nonsense: the old list stands, and the next call asks from the last good version.
        private void read(HttpContent part) {
            try {
                if (reader.read(part.content(), this::take)) {
                    aliveAt = clock.now();
                }
            } catch (IOException | IllegalArgumentException e) {
                if (this == current && !spoilt) {
                    spoilt = true;
                    log.accept("malformed endpoint list ignored: "
                            + e.getMessage().lines().findFirst().orElse(""));
                }
                lost(this, WatchEvent.FAILED);
            }
        }

        private void take(JsonNode object) {
            if (this != current) {
                return;
            }
            EndpointList list = EndpointList.parse(object);
            if (!list.snapshot() && seq != null && list.version() < seq) {
                // A service that counts anew: what it calls changed is not all that has, since our list.
                seq = null;
                throw new IllegalArgumentException("it goes back in its version; the whole is asked for");
            }
            seq = list.version();
            backoff = FIRST_BACKOFF_MS;
            spoilt = false;
            listener.endpointsReceived(list.snapshot() ? WatchEvent.SNAPSHOT : WatchEvent.DELTA, list);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lost(this, WatchEvent.FAILED);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
