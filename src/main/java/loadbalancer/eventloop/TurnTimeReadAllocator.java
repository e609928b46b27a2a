package loadbalancer.eventloop;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.concurrent.Executor;

/**
 * Bounds the time that a group of connections takes of each turn of the event loop, all together: that of their reads
 * and of handling what was read. What is left unread is read in the next turns, in its order, so that timers, clients
 * and endpoints get their part of the loop however much has come.
 */
public final class TurnTimeReadAllocator implements RecvByteBufAllocator {
    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;
    /** The time is looked at after each read, so that a read must not take long to handle. */
    private static final int MAX_READ_BYTES = 16 * 1024;
    /** The one read of a connection in a turn whose time is used up. */
    private static final int RESTRICTED_READ_BYTES = 1024;

    private static final int MAX_READS_PER_TURN = 64;

    private final TurnEndTask turnEnd;
    private final Clock clock;
    private final double maxMillisPerTurn;
    private final RecvByteBufAllocator sizes = new AdaptiveRecvByteBufAllocator(
                    MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
            .maxMessagesPerRead(MAX_READS_PER_TURN);
    private double usedThisTurnMillis;

    /**
     * An allocator for all connections of the group.
     *
     * @param loop runs a task once the sockets of the present turn have been handled
     * @param maxMillisPerTurn the time that the group may take, in milliseconds; the last read may go beyond it
     */
    public TurnTimeReadAllocator(Executor loop, Clock clock, double maxMillisPerTurn) {
        this.turnEnd = new TurnEndTask(loop, this::beginTurn);
        this.clock = clock;
        this.maxMillisPerTurn = maxMillisPerTurn;
    }

    @Override
    @SuppressWarnings("deprecation")
    public Handle newHandle() {
        return new TimedHandle(sizes.newHandle());
    }

    private boolean usedUp() {
        return usedThisTurnMillis >= maxMillisPerTurn;
    }

    private void beginTurn() {
        usedThisTurnMillis = 0;
    }

    /** The reads of one connection. */
    private final class TimedHandle extends RecvByteBufAllocator.DelegatingHandle {
        private double readBegunMillis;

        @SuppressWarnings("deprecation")
        private TimedHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public void reset(ChannelConfig config) {
            super.reset(config);
            readBegunMillis = clock.now();
            turnEnd.schedule();
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(usedUp() ? Math.min(guess(), RESTRICTED_READ_BYTES) : guess());
        }

        // Called once what was read has been handled.
        @Override
        public boolean continueReading() {
            double nowMillis = clock.now();
            usedThisTurnMillis += nowMillis - readBegunMillis;
            readBegunMillis = nowMillis;
            return !usedUp() && super.continueReading();
        }
    }
}
