package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Picks the endpoint of an attempt: it walks the subset in random order, draws at each endpoint independently, and
 * takes the first that passes. The draw against a percentage is the implementation that C4-140439 proposes; it needs no
 * queue.
 */
final class EndpointPicker {
    private final SplittableRandom random;
    private final SubsetSelector subset;
    private final PriorityMix priorities;
    private final ConcurrencyGuard concurrency;
    private final SlowStartBudget slowStart;

    EndpointPicker(
            SplittableRandom random,
            SubsetSelector subset,
            PriorityMix priorities,
            ConcurrencyGuard concurrency,
            SlowStartBudget slowStart) {
        this.random = random;
        this.subset = subset;
        this.priorities = priorities;
        this.concurrency = concurrency;
        this.slowStart = slowStart;
    }

    /** The endpoint for the request's next attempt, or null if none may get it. */
    EndpointState pick(double nowMillis, RequestState request) {
        // A small subset rarely has another endpoint that would discard a repeat; such a retry looks at all.
        boolean wholeFleet = request.boundToDeduplicationScope();
        EndpointState[] candidates = wholeFleet ? subset.ready() : subset.shuffled();
        concurrency.beginWalk(nowMillis, candidates);
        if (!wholeFleet && droppedForSubset(request)) {
            return null;
        }
        return walk(nowMillis, request, candidates);
    }

    private boolean droppedForSubset(RequestState request) {
        double fraction = concurrency.subsetDropFraction();
        return fraction > 0 && random.nextDouble() < priorities.dropFraction(request.priorityLevel(), fraction);
    }

    /** Shuffles the candidates as it goes along. A small endpoint comes later; its size alone never rejects. */
    private EndpointState walk(double nowMillis, RequestState request, EndpointState[] candidates) {
        EndpointState fallback = null;
        for (int left = candidates.length; left > 0; left--) {
            int index = random.nextInt(left);
            EndpointState endpoint = candidates[index];
            candidates[index] = candidates[left - 1];
            candidates[left - 1] = endpoint;
            if (!eligible(nowMillis, request, endpoint) || !passes(nowMillis, request, endpoint)) {
                continue;
            }
            if (endpoint.relativeSize() >= 1 || random.nextDouble() < endpoint.relativeSize()) {
                boolean firstChoice = request.attemptCount() == 0 && left == candidates.length;
                if (takeSlowStartToken(nowMillis, endpoint, firstChoice, candidates.length)) {
                    return endpoint;
                }
            } else if (fallback == null) {
                fallback = endpoint;
            }
        }
        boolean usable = fallback != null && takeSlowStartToken(nowMillis, fallback, false, candidates.length);
        return usable ? fallback : null;
    }

    private boolean takeSlowStartToken(
            double nowMillis, EndpointState endpoint, boolean firstChoice, int candidateCount) {
        return slowStart.tryTake(nowMillis, endpoint, firstChoice, subset.shuffled().length, candidateCount);
    }

    /** False where the request has been already, or where it must not be repeated. */
    private static boolean eligible(double nowMillis, RequestState request, EndpointState endpoint) {
        // An ejected endpoint is tried by one request at a time.
        if (endpoint.outlier().ejected() && endpoint.inFlight().count() > 0) {
            return false;
        }
        return !request.tried(endpoint) && request.mayRepeatAt(endpoint, nowMillis);
    }

    private boolean passes(double nowMillis, RequestState request, EndpointState endpoint) {
        double fraction = priorities.dropFraction(request.priorityLevel(), dropFraction(nowMillis, endpoint));
        return random.nextDouble() >= fraction && !endpoint.errorRates().drops(request.classIndex(), random);
    }

    private double dropFraction(double nowMillis, EndpointState endpoint) {
        double slowStartDrop = 1 - slowStart.capacityFraction(nowMillis, endpoint);
        double fraction = Math.max(endpoint.drop().dropFraction(), slowStartDrop);
        return 1 - (1 - fraction) * (1 - concurrency.endpointDropFraction(nowMillis, endpoint));
    }
}
