package loadbalancer.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MemoryBudgetTest {
    private static final long CAPACITY = 1_000_000;
    private static final int LARGE = 10_000;
    private static final long SEED = 20_261_205;

    private final MemoryBudget budget = new MemoryBudget(CAPACITY);

    @Test
    void keepsPartOfItForSmallHoldings() {
        while (budget.newHolding(MemoryUse.REQUEST_BODIES).tryGrow(LARGE)) {
            assertTrue(budget.heldBytes() <= CAPACITY * 6 / 10);
        }
        assertEquals(1, budget.refusals(MemoryUse.REQUEST_BODIES));
        assertTrue(budget.newHolding(MemoryUse.REQUEST_HEADS).tryGrow(MemoryUse.REQUEST_HEADS.smallHoldingBytes()));
        assertTrue(budget.newHolding(MemoryUse.ENDPOINT_RESPONSES).tryGrow(LARGE));
    }

    @Test
    void refusesSmallHoldingsBeyondCapacity() {
        MemoryHolding taken = budget.newHolding(MemoryUse.PENDING_REQUESTS);
        taken.resize(CAPACITY);
        MemoryHolding small = budget.newHolding(MemoryUse.REQUEST_HEADS);
        assertFalse(small.tryGrow(1));
        assertEquals(0, small.bytes());
        taken.release();
        assertTrue(small.tryGrow(1));
    }

    @Test
    void countsHoldingThatGrowsBeyondSmallAsLarge() {
        budget.newHolding(MemoryUse.PENDING_REQUESTS).resize(CAPACITY * 7 / 10);
        MemoryHolding head = budget.newHolding(MemoryUse.REQUEST_HEADS);
        assertTrue(head.tryGrow(MemoryUse.REQUEST_HEADS.smallHoldingBytes()));
        assertFalse(head.tryGrow(1));
    }

    // Guards against bytes that are given back twice or never.
    @Test
    void holdsSumOfHoldingsWhateverHappens() {
        Random random = new Random(SEED);
        List<MemoryHolding> holdings = new ArrayList<>();
        for (MemoryUse use : MemoryUse.values()) {
            for (int i = 0; i < 20; i++) {
                holdings.add(budget.newHolding(use));
            }
        }
        for (int i = 0; i < 10_000; i++) {
            MemoryHolding holding = holdings.get(random.nextInt(holdings.size()));
            switch (random.nextInt(3)) {
                case 0 -> holding.tryGrow(random.nextInt(LARGE));
                case 1 -> holding.resize(random.nextInt(LARGE));
                default -> holding.release();
            }
            assertEquals(holdings.stream().mapToLong(MemoryHolding::bytes).sum(), budget.heldBytes());
        }
        holdings.forEach(MemoryHolding::release);
        holdings.forEach(MemoryHolding::release);
        assertEquals(0, budget.heldBytes());
        for (MemoryUse use : MemoryUse.values()) {
            assertEquals(0, budget.heldBytes(use));
        }
    }

    /** The deploy file's heap, with the connections that 256, 1,024 and 4,096 descriptors allow. */
    @ParameterizedTest
    @CsvSource({"208", "832", "3328"})
    void leavesRoomForProgramAndConnectionsInDeployedHeap(int connections) {
        long heapBytes = 46L << 20;
        MemoryBudget deployed = MemoryBudget.ofHeap(heapBytes, connections);
        long programBytes = 8L << 20;
        assertTrue(deployed.capacityBytes() > 10L << 20);
        // Line buffers lie outside of the heap, in what -XX:MaxDirectMemorySize allows.
        assertTrue(deployed.capacityBytes() < 32L << 20);
        assertTrue(deployed.capacityBytes() + programBytes + connections * 4096L <= heapBytes * 3 / 4);
    }

    // Guards against long lines that do not end, of which each is small and all together leave no room for a request.
    @Test
    void lineBuffersLeaveRoomForSmallRequests() {
        int buffered = 0;
        while (budget.newHolding(MemoryUse.LINE_BUFFERS).tryResize(8 * 1024)) {
            buffered++;
        }
        assertTrue(buffered > 0 && budget.heldBytes() <= 0.6 * CAPACITY, "held " + budget.heldBytes());
        assertTrue(budget.newHolding(MemoryUse.LINE_BUFFERS).tryResize(2 * 1024));
        assertTrue(budget.newHolding(MemoryUse.REQUEST_HEADS).tryGrow(1000));
    }
}
