package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.eventloop.Clock;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.proxy.RequestDispatcher;
import org.junit.jupiter.api.Test;

/** Evictions and timeouts of connections, on channels without sockets. */
class ConnectionTableTest {
    private static final String READINESS_CHECK = "GET /health/ready HTTP/1.1\r\n\r\n";

    private final AtomicLong nanos = new AtomicLong();
    private final Clock clock = new Clock(nanos::get, () -> 0);
    private MemoryBudget memory = MemoryBudget.unlimited();
    private ConnectionTable connections = new ConnectionTable(clock, 2);

    @Test
    void evictsLongestSilentConnection() {
        EmbeddedChannel first = connect();
        EmbeddedChannel second = connect();
        EmbeddedChannel third = connect();
        assertFalse(first.isOpen());
        assertTrue(second.isOpen() && third.isOpen());
        assertEquals(2, connections.size());
    }

    @Test
    void evictsIdleConnectionBeforeSilentOne() {
        EmbeddedChannel silent = connect();
        EmbeddedChannel idle = connect();
        becomeIdle(idle);
        advance(2001);
        EmbeddedChannel newest = connect();
        assertFalse(idle.isOpen());
        assertTrue(silent.isOpen() && newest.isOpen());
    }

    @Test
    void evictsSlowConnectionBeforeNewOne() {
        EmbeddedChannel slow = connect();
        EmbeddedChannel slower = connect();
        send(slower, "GET");
        send(slow, "GET");
        advance(1000);
        EmbeddedChannel newest = connect();
        assertFalse(slow.isOpen(), "the earliest of both connections goes");
        assertTrue(slower.isOpen() && newest.isOpen());
    }

    @Test
    void evictsNewConnectionBeforeOneThatIsNotYetSlow() {
        EmbeddedChannel first = connect();
        EmbeddedChannel second = connect();
        send(first, "GET");
        send(second, "GET");
        advance(999);
        EmbeddedChannel newest = connect();
        assertFalse(newest.isOpen());
        assertTrue(first.isOpen() && second.isOpen());
    }

    @Test
    void closesSilentConnectionAfterReceiveTimeout() {
        EmbeddedChannel silent = connect();
        advance(2500);
        connections.closeExpired();
        assertTrue(silent.isOpen());
        advance(1);
        connections.closeExpired();
        assertFalse(silent.isOpen());
        assertNull(silent.readOutbound());
    }

    @Test
    void answersIncompleteRequestAfterReceiveTimeout() {
        EmbeddedChannel slow = connect();
        send(slow, "GET");
        advance(2501);
        connections.closeExpired();
        assertTrue(sent(slow).startsWith("HTTP/1.1 408 "));
        assertFalse(slow.isOpen());
    }

    @Test
    void closesIdleConnectionAfterIdleTimeout() {
        connections = new ConnectionTable(clock, 8);
        EmbeddedChannel idle = connect();
        becomeIdle(idle);
        advance(60_000);
        connections.closeExpired();
        assertTrue(idle.isOpen());
        advance(1);
        connections.closeExpired();
        assertFalse(idle.isOpen());
    }

    @Test
    void closesIdleConnectionsEarlyWhileThereAreMany() {
        connections = new ConnectionTable(clock, 4);
        EmbeddedChannel oldest = connect();
        becomeIdle(oldest);
        advance(1);
        EmbeddedChannel newer = connect();
        becomeIdle(newer);
        advance(2001);
        connections.closeExpired();
        assertFalse(oldest.isOpen());
        assertTrue(newer.isOpen());
    }

    @Test
    void isBusyWhileRequestIsReceived() {
        EmbeddedChannel client = connect();
        assertFalse(connections.hasBusy());
        send(client, "GET");
        assertTrue(connections.hasBusy());
    }

    @Test
    void answersHeadThatBudgetHasNotLeftWithRefusal() {
        memory = new MemoryBudget(6000);
        EmbeddedChannel large = connect();
        send(large, "GET /health/ready HTTP/1.1\r\n" + "name: value\r\n".repeat(50));
        assertTrue(sent(large).startsWith("HTTP/1.1 503 "));
        assertFalse(large.isOpen());
        assertEquals(0, memory.heldBytes());
        EmbeddedChannel small = connect();
        send(small, READINESS_CHECK);
        assertTrue(sent(small).startsWith("HTTP/1.1 200 "));
    }

    @Test
    void endsSlowestRequestOnceMemoryIsShort() {
        connections = new ConnectionTable(clock, 8);
        memory = new MemoryBudget(6000);
        EmbeddedChannel slow = connect();
        send(slow, "GET /health/ready HTTP/1.1\r\n" + "name: value\r\n".repeat(20));
        advance(1000);
        EmbeddedChannel newest = connect();
        send(newest, "GET /health/ready HTTP/1.1\r\n" + "name: value\r\n".repeat(20));
        assertTrue(sent(newest).startsWith("HTTP/1.1 503 "));
        assertTrue(sent(slow).startsWith("HTTP/1.1 408 "));
        assertEquals(0, memory.heldBytes());
    }

    private EmbeddedChannel connect() {
        return new EmbeddedChannel(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                new ClientConnection(new ReadyServer(), clock).addTo(channel.pipeline());
            }
        });
    }

    private static void send(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private static void becomeIdle(EmbeddedChannel channel) {
        send(channel, READINESS_CHECK);
        assertTrue(sent(channel).startsWith("HTTP/1.1 200 "));
        assertTrue(channel.isOpen());
    }

    private static String sent(EmbeddedChannel channel) {
        StringBuilder text = new StringBuilder();
        for (ByteBuf bytes = channel.readOutbound(); bytes != null; bytes = channel.readOutbound()) {
            text.append(bytes.toString(StandardCharsets.UTF_8));
        }
        return text.toString();
    }

    private void advance(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** A server that is ready and serves no requests of the application. */
    private final class ReadyServer implements ServerContext {
        @Override
        public ReadAllowance readAllowance() {
            return new ReadAllowance();
        }

        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public boolean isShuttingDown() {
            return false;
        }

        @Override
        public boolean isPastShutdownDeadline() {
            return false;
        }

        @Override
        public RequestValidator validator() {
            // Readiness checks need none.
            return null;
        }

        @Override
        public MemoryBudget memory() {
            return memory;
        }

        @Override
        public void memoryRefused() {
            connections.evictSlowest();
        }

        @Override
        public RequestDispatcher dispatcher() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void connectionOpened(ClientConnection connection) {
            connections.add(connection);
        }

        @Override
        public void connectionClosed(ClientConnection connection) {
            connections.remove(connection);
        }
    }
}
