package loadbalancer.faultsearch;

/** Cuts a failing sequence down to the fewest steps that still fail. */
final class SequenceReducer {
    private SequenceReducer() {}

    /** Returns a sequence that fails, and passes without any one of its steps. */
    static FaultSequence reduce(FaultSequence failing) {
        FaultSequence reduced = failing;
        boolean shorter = true;
        while (shorter) {
            shorter = false;
            for (Step step : reduced.steps()) {
                FaultSequence candidate = reduced.without(step);
                if (!VirtualRun.play(candidate).violations().isEmpty()) {
                    reduced = candidate;
                    shorter = true;
                    break;
                }
            }
        }
        return reduced;
    }
}
