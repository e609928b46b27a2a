package loadbalancer.policy;

import java.util.PriorityQueue;

/** A simulated clock that runs scheduled actions; those of the same time run in the order of their scheduling. */
final class SimulatedClock {
    private record ScheduledAction(double at, long number, Runnable action) implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>();
    private long nextNumber;
    private double now;

    double now() {
        return now;
    }

    /** Runs the action at this time, or now if that is past. */
    void at(double time, Runnable action) {
        scheduled.add(new ScheduledAction(Math.max(now, time), nextNumber++, action));
    }

    /** Runs everything that is scheduled before this time. */
    void runUntil(double end) {
        while (!scheduled.isEmpty() && scheduled.peek().at() < end) {
            ScheduledAction next = scheduled.poll();
            now = next.at();
            next.action().run();
        }
    }
}
