package loadbalancer.faultsearch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What a run consists of.
 *
 * @param pushed true if lists come from a local agent
 * @param sidecars how many the settings say there are
 * @param graceMillis for how long an endpoint may still be used once its drain is known
 * @param askWithinMillis after how long without a call a process is held to what discovery has
 * @param tellsChanges true if a call that names a version gets the changes since, false if always the whole list
 * @param answersNoChange true if a call gets an empty object if nothing has changed, false if only empty lines
 */
record FaultSequence(
        long seed,
        boolean pushed,
        int sidecars,
        int graceMillis,
        int askWithinMillis,
        boolean tellsChanges,
        boolean answersNoChange,
        List<Step> steps) {
    FaultSequence {
        List<Step> sorted = new ArrayList<>(steps);
        sorted.sort(Comparator.comparingInt(Step::atMillis));
        steps = List.copyOf(sorted);
    }

    /** Returns the same without one of its steps. */
    FaultSequence without(Step step) {
        List<Step> rest = new ArrayList<>(steps);
        rest.remove(step);
        return new FaultSequence(
                seed, pushed, sidecars, graceMillis, askWithinMillis, tellsChanges, answersNoChange, rest);
    }

    boolean has(Step.Kind kind) {
        return steps.stream().anyMatch(step -> step.kind() == kind);
    }

    /** Returns the step of this kind that goes on at a time, or null. */
    Step active(Step.Kind kind, double millis) {
        for (Step step : steps) {
            if (step.kind() == kind && step.covers(millis)) {
                return step;
            }
        }
        return null;
    }

    /** Returns one line without the steps. */
    String summary() {
        return "seed " + seed + ", " + (pushed ? "pushed" : "polled") + ", " + sidecars + " sidecars, grace "
                + graceMillis + " ms, asked within " + askWithinMillis + " ms, "
                + (tellsChanges ? "changes" : "whole lists") + ", "
                + (answersNoChange ? "empty objects" : "empty lines");
    }
}
