package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What connections read in a turn of the loop. */
class FairReadAllocatorTest {
    private static final int MAX_CONNECTIONS = 448;
    private static final int MAX_PARTS_PER_TURN = 12_000;
    /** Twice what a turn may cost, and a large read each. */
    private static final int MAX_BYTES_PER_TURN = 16 * 1024 * 1024 + MAX_CONNECTIONS * 8192;

    private static final int RESTRICTED_READ_BYTES = 32;
    /** A chunk of one byte on the wire. */
    private static final int SMALLEST_PART_BYTES = 6;

    private static final int LARGE_PART_BYTES = 1000;
    private static final int LARGE_REQUEST_BYTES = 60_000;
    /** A request is late half a second after its time; turns with that many parts take some 25 ms. */
    private static final int MAX_TURNS_OF_LARGE_REQUEST = 20;

    private final Queue<Runnable> afterTurn = new ArrayDeque<>();
    private final ReadAllowance allowance = new ReadAllowance();
    private final FairReadAllocator allocator = new FairReadAllocator(afterTurn::add, allowance);
    private int partsThisTurn;

    private List<Connection> connect(int connections, int partBytes) {
        List<Connection> connected = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            connected.add(new Connection(partBytes));
        }
        return connected;
    }

    private static int readPasses(List<Connection> connections) {
        return connections.stream().mapToInt(Connection::readPass).sum();
    }

    private void endTurn() {
        partsThisTurn = 0;
        for (Runnable task = afterTurn.poll(); task != null; task = afterTurn.poll()) {
            task.run();
        }
    }

    /** A connection whose client has sent more than can be read, in parts of one size. */
    private final class Connection {
        // The interface that channels use of it is deprecated in favour of one that they do not require.
        @SuppressWarnings("deprecation")
        private final RecvByteBufAllocator.Handle handle = allocator.newHandle();

        private final int partBytes;

        private Connection(int partBytes) {
            this.partBytes = partBytes;
        }

        // Returns the bytes of one pass, as the channel of a socket makes it.
        private int readPass() {
            handle.reset(new EmbeddedChannel().config());
            int bytes = 0;
            do {
                bytes += readOnce();
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
            for (int i = 0; i < bytes / partBytes; i++) {
                allowance.recordPart();
                partsThisTurn++;
            }
            handle.incMessagesRead(1);
            return bytes;
        }
    }

    // Guards against a turn that takes as long as its clients send.
    @ParameterizedTest
    @ValueSource(ints = {SMALLEST_PART_BYTES, LARGE_PART_BYTES, LARGE_REQUEST_BYTES})
    void boundsEachTurnOfAllConnections(int partBytes) {
        List<Connection> connections = connect(MAX_CONNECTIONS, partBytes);
        for (int turn = 0; turn < 200; turn++) {
            int bytes = readPasses(connections);
            assertTrue(bytes <= MAX_BYTES_PER_TURN, "bytes in turn " + turn + ": " + bytes);
            assertTrue(partsThisTurn <= MAX_PARTS_PER_TURN, "parts in turn " + turn + ": " + partsThisTurn);
            endTurn();
        }
    }

    // Guards against large requests that are read late, since others that send at full speed come first in each turn.
    @ParameterizedTest
    @ValueSource(ints = {SMALLEST_PART_BYTES, LARGE_PART_BYTES, LARGE_REQUEST_BYTES})
    void readsLargeRequestSoonBehindHundredsOfGreedyConnections(int partBytes) {
        List<Connection> greedy = connect(300, partBytes);
        for (int turn = 0; turn < 50; turn++) {
            readPasses(greedy);
            endTurn();
        }
        Connection last = new Connection(LARGE_REQUEST_BYTES);
        int turns = 0;
        for (int bytes = 0; bytes < LARGE_REQUEST_BYTES; turns++) {
            readPasses(greedy);
            bytes += last.readPass();
            endTurn();
        }
        assertTrue(turns <= MAX_TURNS_OF_LARGE_REQUEST, "turns: " + turns);
    }

    @Test
    void restrictsEachConnectionOnceTurnIsUsedUp() {
        readPasses(connect(MAX_CONNECTIONS, SMALLEST_PART_BYTES));
        for (int i = 0; i < 500; i++) {
            assertEquals(RESTRICTED_READ_BYTES, new Connection(LARGE_REQUEST_BYTES).readPass());
        }
        endTurn();
        assertTrue(new Connection(LARGE_REQUEST_BYTES).readPass() > RESTRICTED_READ_BYTES);
    }

    @Test
    void takesWhatIsReadBeyondShareOffTheNextOnes() {
        Connection greedy = new Connection(SMALLEST_PART_BYTES);
        greedy.readPass();
        endTurn();
        assertEquals(RESTRICTED_READ_BYTES, greedy.readPass());
        for (int turn = 0; turn < 20; turn++) {
            endTurn();
            new Connection(LARGE_REQUEST_BYTES).readPass();
        }
        assertTrue(greedy.readPass() > RESTRICTED_READ_BYTES);
    }

    @Test
    void readsOnWhileAllowanceLasts() {
        Connection connection = new Connection(LARGE_REQUEST_BYTES);
        assertTrue(connection.readPass() >= LARGE_REQUEST_BYTES);
    }
}
