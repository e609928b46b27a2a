package loadbalancer.policy;

/** Requests at a steady rate, of each class in turn, whose attempts end at once as a script says. */
final class Traffic {
    private static final double SUCCESS_MILLIS = 50;
    private static final double FAILURE_MILLIS = 1;

    /** How an attempt ends. */
    interface Script {
        AttemptOutcome outcome(String endpoint, int classIndex);
    }

    /** The load report that comes with the end of an attempt, or null. */
    interface Reports {
        LoadReport report(String endpoint);
    }

    private final PolicyHarness harness;
    private final double gapMillis;
    private Script script = (endpoint, classIndex) -> AttemptOutcome.SUCCESS;
    private Reports reports = endpoint -> null;

    private Traffic(PolicyHarness harness, double gapMillis) {
        this.harness = harness;
        this.gapMillis = gapMillis;
    }

    /** Traffic of which every attempt succeeds. */
    static Traffic every(double gapMillis, PolicyHarness harness) {
        return new Traffic(harness, gapMillis);
    }

    Traffic endingAs(Script outcomes) {
        script = outcomes;
        return this;
    }

    /** Every attempt at this endpoint ends so, and every other one succeeds. */
    Traffic endingAs(AttemptOutcome outcome, String endpoint) {
        return endingAs((id, classIndex) -> id.equals(endpoint) ? outcome : AttemptOutcome.SUCCESS);
    }

    /** Every attempt ends so. */
    Traffic endingAs(AttemptOutcome outcome) {
        return endingAs((id, classIndex) -> outcome);
    }

    Traffic reporting(Reports loadReports) {
        reports = loadReports;
        return this;
    }

    /** Sends the requests from the first time up to before the second one. */
    TrafficCounts run(double from, double until) {
        TrafficCounts counts = new TrafficCounts();
        int number = 0;
        for (double now = from; now < until; now += gapMillis, number++) {
            harness.runTo(now);
            int classIndex = number % harness.classCount();
            PolicyRequest request = harness.request(now, classIndex);
            counts.addRequest(harness.lastEndpoint(request), classIndex);
            endAttempts(now, request, counts);
        }
        return counts;
    }

    private void endAttempts(double now, PolicyRequest request, TrafficCounts counts) {
        boolean served = false;
        while (!served && !harness.answered(request)) {
            int attempts = harness.attempts(request);
            String endpoint = harness.lastEndpoint(request);
            AttemptOutcome outcome = script.outcome(endpoint, request.classIndex());
            served = outcome == AttemptOutcome.SUCCESS;
            counts.addAttempt(endpoint);
            double durationMillis = served ? SUCCESS_MILLIS : FAILURE_MILLIS;
            harness.endLastAttempt(now, request, outcome, durationMillis, reports.report(endpoint));
            if (!served && !harness.answered(request) && harness.attempts(request) == attempts) {
                throw new AssertionError("neither answered nor forwarded again: " + request.id());
            }
        }
    }
}
