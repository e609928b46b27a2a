package loadbalancer.faultsearch;

import loadbalancer.faultsearch.Step.Kind;
import loadbalancer.testing.PathTreatment;

/** What a sequence does to the path of a call that begins at a time. */
final class CallFaults {
    private static final double MILLIS_PER_SECOND = 1000;

    private CallFaults() {}

    /** Returns how the path of a connection that is opened now treats what is written to it. */
    static PathTreatment treatment(FaultSequence sequence, double millis) {
        Step late = sequence.active(Kind.LATE_PATH, millis);
        Step growing = sequence.active(Kind.GROWING_PATH, millis);
        Step bursts = sequence.active(Kind.BURST_PATH, millis);
        Step throttle = sequence.active(Kind.THROTTLE, millis);
        return new PathTreatment(
                late == null ? 0 : late.amount(),
                growing == null ? 0 : growing.amount(),
                throttle == null ? Double.POSITIVE_INFINITY : throttle.amount() / MILLIS_PER_SECOND,
                bursts == null ? 0 : bursts.amount());
    }
}
