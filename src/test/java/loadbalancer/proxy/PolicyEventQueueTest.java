package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Order, nesting and faults of the events of a policy. */
class PolicyEventQueueTest {
    private final List<String> ran = new ArrayList<>();
    private final List<String> logged = new ArrayList<>();
    private final PolicyEventQueue queue = new PolicyEventQueue(logged::add);

    @Test
    void runsEventAtOnceIfNoneIsRunning() {
        queue.enqueuePolicyEvent(() -> ran.add("first"));
        assertEquals(List.of("first"), ran);
        queue.enqueuePolicyEvent(() -> ran.add("second"));
        assertEquals(List.of("first", "second"), ran);
    }

    @Test
    void runsNestedEventsInOrderAfterCurrentOne() {
        queue.enqueuePolicyEvent(() -> {
            queue.enqueuePolicyEvent(() -> {
                queue.enqueuePolicyEvent(() -> ran.add("nested twice"));
                ran.add("nested");
            });
            queue.enqueuePolicyEvent(() -> ran.add("nested later"));
            ran.add("outer");
        });
        assertEquals(List.of("outer", "nested", "nested later", "nested twice"), ran);
    }

    @Test
    void logsFailingEventAndRunsNextOnes() {
        queue.enqueuePolicyEvent(() -> {
            queue.enqueuePolicyEvent(() -> ran.add("next"));
            throw new IllegalStateException("broken");
        });
        queue.enqueuePolicyEvent(() -> ran.add("later"));
        assertEquals(List.of("next", "later"), ran);
        assertEquals(1, logged.size());
        String line = logged.get(0);
        assertTrue(
                line.startsWith("policy event failed: java.lang.IllegalStateException: broken at "
                        + PolicyEventQueueTest.class.getName()),
                line);
    }

    @Test
    void logsStackOverflowAndRunsNextEvents() {
        queue.enqueuePolicyEvent(() -> {
            throw new StackOverflowError();
        });
        queue.enqueuePolicyEvent(() -> ran.add("next"));
        assertEquals(List.of("next"), ran);
        assertEquals(1, logged.size());
    }

    @Test
    void logsFaultWithoutStackTrace() {
        RuntimeException fault = new RuntimeException("often", null, false, false) {
            @Override
            public String toString() {
                return "fault";
            }
        };
        queue.enqueuePolicyEvent(() -> {
            throw fault;
        });
        assertEquals(List.of("policy event failed: fault"), logged);
    }

    @Test
    void dispatchesAgainAfterOtherErrors() {
        Error error = new AssertionError("fatal");
        assertThrows(
                AssertionError.class,
                () -> queue.enqueuePolicyEvent(() -> {
                    throw error;
                }));
        queue.enqueuePolicyEvent(() -> ran.add("next"));
        assertEquals(List.of("next"), ran);
        assertEquals(List.of(), logged);
    }
}
