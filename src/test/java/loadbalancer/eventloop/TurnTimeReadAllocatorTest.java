package loadbalancer.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** For how long a group of connections is read in a turn of the loop, by a set clock. */
class TurnTimeReadAllocatorTest {
    private static final int MAX_MILLIS_PER_TURN = 25;
    private static final int RESTRICTED_READ_BYTES = 1024;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final AtomicLong nanos = new AtomicLong();
    private final Queue<Runnable> afterTurn = new ArrayDeque<>();
    private final TurnTimeReadAllocator allocator =
            new TurnTimeReadAllocator(afterTurn::add, new Clock(nanos::get, () -> 0), MAX_MILLIS_PER_TURN);

    private void endTurn() {
        for (Runnable task = afterTurn.poll(); task != null; task = afterTurn.poll()) {
            task.run();
        }
    }

    /** A connection on which more has come than can be read. */
    private final class Connection {
        // The interface that channels use of it is deprecated in favour of one that they do not require.
        @SuppressWarnings("deprecation")
        private final RecvByteBufAllocator.Handle handle = allocator.newHandle();

        private int reads;

        // Returns the bytes of one pass, as the channel of a socket makes it.
        private int readPass(long millisPerRead) {
            handle.reset(new EmbeddedChannel().config());
            int bytes = 0;
            reads = 0;
            do {
                bytes += readOnce();
                nanos.addAndGet(millisPerRead * NANOS_PER_MILLI);
            } while (handle.continueReading());
            handle.readComplete();
            return bytes;
        }

        private int readOnce() {
            ByteBuf buffer = handle.allocate(UnpooledByteBufAllocator.DEFAULT);
            int bytes = buffer.writableBytes();
            buffer.release();
            handle.attemptedBytesRead(bytes);
            handle.lastBytesRead(bytes);
            handle.incMessagesRead(1);
            reads++;
            return bytes;
        }
    }

    @Test
    void connectionIsReadUntilTimeOfTurnIsUsedUp() {
        Connection connection = new Connection();
        for (int turn = 0; turn < 3; turn++) {
            connection.readPass(5);
            assertEquals(MAX_MILLIS_PER_TURN / 5, connection.reads);
            endTurn();
        }
    }

    // Guards against a turn that lasts as long as there are calls on which a list comes.
    @Test
    void allConnectionsShareTimeOfTurn() {
        new Connection().readPass(5);
        for (int i = 0; i < 20; i++) {
            Connection other = new Connection();
            assertTrue(other.readPass(0) <= RESTRICTED_READ_BYTES);
            assertEquals(1, other.reads);
        }
        endTurn();
        Connection next = new Connection();
        next.readPass(5);
        assertEquals(MAX_MILLIS_PER_TURN / 5, next.reads);
    }

    @Test
    void timeOfOthersBetweenPassesDoesNotCount() {
        Connection connection = new Connection();
        connection.readPass(MAX_MILLIS_PER_TURN);
        endTurn();
        nanos.addAndGet(1000 * NANOS_PER_MILLI);
        connection.readPass(5);
        assertEquals(MAX_MILLIS_PER_TURN / 5, connection.reads);
    }
}
