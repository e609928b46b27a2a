package loadbalancer.proxy;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Runs the policy's events one after another, each to its end before the next one begins.
 *
 * <p>An event that is added while another one runs waits for its turn. An event that fails is logged and does not
 * keep later ones from running. All calls come from the event loop.
 */
final class PolicyEventQueue {
    private final Consumer<String> log;
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean dispatching;

    /**
     * Creates an empty queue.
     *
     * @param log receives one line for each event that fails
     */
    PolicyEventQueue(Consumer<String> log) {
        this.log = log;
    }

    /** Adds an event, and runs all that wait unless one of them is running now. */
    void enqueuePolicyEvent(Runnable event) {
        events.add(event);
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                run(next);
            }
        } finally {
            dispatching = false;
        }
    }

    // A fault in one decision must not end the other requests; the deadline of its own request ends that one.
    private void run(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | StackOverflowError fault) {
            // The JVM omits the stack trace of a fault that it has thrown often.
            StackTraceElement[] trace = fault.getStackTrace();
            log.accept("policy event failed: " + fault + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
