package loadbalancer.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.concurrent.Executor;
import loadbalancer.eventloop.TurnEndTask;

/**
 * Bounds what the connections of one event loop read in a turn, one by one and all together, so that a turn takes a
 * bounded time however much clients send. Connections that have used up their share of {@link ReadAllowance} still
 * read a little in each turn.
 */
final class FairReadAllocator implements RecvByteBufAllocator {
    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;
    /** A buffer that is read into stays with its connection while the last line in it is not complete. */
    private static final int MAX_READ_BYTES = 8192;
    /** Reads of one connection in a turn: with the size of a read, more than the largest request. */
    private static final int MAX_READS_PER_TURN = 16;
    /** The largest part of a request that is read beyond the share of its connection. */
    private static final int RESTRICTED_READ_BYTES = 32;
    /** Where a connection's debt ends, so that one which sends less again is not restricted for long. */
    private static final int MIN_CREDIT = -1024 * 1024;

    private final ReadAllowance allowance;
    private final TurnEndTask turnEnd;
    private final RecvByteBufAllocator sizes = new AdaptiveRecvByteBufAllocator(
                    MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
            // Reads until nothing is left: otherwise the end of a connection would be found a turn later than
            // the request before it, which would be forwarded for a client that has left.
            .respectMaybeMoreData(false)
            .maxMessagesPerRead(MAX_READS_PER_TURN);

    /**
     * An allocator for all connections of one loop.
     *
     * @param loop runs a task once the sockets of the present turn have been handled
     * @param allowance of all connections, which is told what is decoded from the bytes of a read
     */
    FairReadAllocator(Executor loop, ReadAllowance allowance) {
        this.allowance = allowance;
        this.turnEnd = new TurnEndTask(loop, allowance::beginTurn);
    }

    @Override
    @SuppressWarnings("deprecation")
    public Handle newHandle() {
        return new FairHandle(sizes.newHandle());
    }

    /** The reads of one connection. */
    private final class FairHandle extends RecvByteBufAllocator.DelegatingHandle {
        /** What is left of the connection's shares; negative if it has used up more. */
        private int credit;
        /** The last turn whose share it has got. */
        private long creditedTurn = -1;
        /** What all connections had used up in the turn before the present read. */
        private int costBeforeRead;

        @SuppressWarnings("deprecation")
        private FairHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public void reset(ChannelConfig config) {
            super.reset(config);
            if (creditedTurn < allowance.turn()) {
                long turns = allowance.turn() - creditedTurn;
                int share = allowance.share();
                credit = (int) Math.min(share, credit + turns * share);
                creditedTurn = allowance.turn();
                turnEnd.schedule();
            }
        }

        private boolean restricted() {
            return credit <= 0 || allowance.usedUp();
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            int bytes = restricted() ? RESTRICTED_READ_BYTES : Math.max(RESTRICTED_READ_BYTES, credit);
            return allocator.ioBuffer(Math.min(guess(), bytes));
        }

        @Override
        public void lastBytesRead(int bytes) {
            super.lastBytesRead(bytes);
            costBeforeRead = allowance.costThisTurn();
            allowance.recordBytes(Math.max(0, bytes));
        }

        // Called once what was read has been decoded.
        @Override
        public boolean continueReading() {
            credit = Math.max(MIN_CREDIT, credit - (allowance.costThisTurn() - costBeforeRead));
            costBeforeRead = allowance.costThisTurn();
            return !restricted() && super.continueReading();
        }
    }
}
