package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Plays a seeded random sequence of events and checks the rules on forwarding and repeats at every action. */
final class CheckedRandomRun {
    private static final int STEPS = 3000;
    private static final int ENDPOINTS = 12;
    private static final int ENDPOINTS_IN_CELL = 4;
    private static final double START = 100_000;

    private final Random random;
    private final PolicyHarness harness;
    private final List<ForwardedAttempt> inFlight = new ArrayList<>();
    private final EndpointStatus[] statuses = new EndpointStatus[ENDPOINTS];
    private final double[] startedAt = new double[ENDPOINTS];
    private int forwardedSeen;
    private double now = START;

    CheckedRandomRun(long seed, String namePrefix, boolean hedging) {
        random = new Random(seed);
        harness = new PolicyHarness(settings(namePrefix, hedging), seed);
        harness.checkRepeats();
    }

    private static PolicySettings settings(String prefix, boolean hedging) {
        return SettingsBuilder.forClasses(
                        requestClass(prefix + "a", 5, 0.3, 400, 1500, Idempotency.IDEMPOTENT, 0),
                        requestClass(prefix + "b", 3, 0, 300, 1000, Idempotency.WITH_KEY, 700),
                        requestClass(prefix + "c", 1, 0, 300, 1000, Idempotency.NOT_IDEMPOTENT, 0))
                .tenants(0.2, new Tenant(prefix + "t", 0.6, 50), new Tenant(prefix + "u", 0.4, 30))
                .maxAttempts(4)
                .hedging(hedging)
                .maxRetryAfterMillis(1000)
                .reporting(LoadReporting.WITH_PROBES)
                .probeCost(0.002)
                .ordinal(1)
                .build();
    }

    private static RequestClass requestClass(
            String name,
            double priorityWeight,
            double lateWeight,
            double objectiveMillis,
            double deadlineMillis,
            Idempotency idempotency,
            double windowMillis) {
        DeduplicationScope scope =
                idempotency == Idempotency.WITH_KEY ? DeduplicationScope.ZONE : DeduplicationScope.ALL;
        return new RequestClass(
                name,
                priorityWeight,
                lateWeight,
                objectiveMillis,
                deadlineMillis,
                idempotency,
                scope,
                windowMillis,
                false);
    }

    /** Plays the run once and returns its actions. */
    List<String> play() {
        harness.start(now);
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(20) == 0 ? random.nextInt(3000) : random.nextInt(12);
            harness.runTo(now);
            collectForwarded();
            playEvent(step, random.nextInt(100));
            collectForwarded();
        }
        return harness.actions();
    }

    private void playEvent(int step, int kind) {
        if (kind < 45) {
            request(step);
        } else if (kind < 85 && !inFlight.isEmpty()) {
            endAttempt();
        } else if (kind < 92) {
            changeEndpoints();
        } else if (kind < 94) {
            harness.watchEvent(now, WatchEvent.FAILED);
        } else if (kind < 96) {
            endProbe();
        } else if (kind < 98) {
            harness.messageArrives(now, 2, new byte[random.nextInt(9)]);
        } else if (!inFlight.isEmpty()) {
            PolicyRequest request = inFlight.get(0).request();
            harness.noteAnswer(request, FinalAnswer.CLIENT_GONE);
            harness.clientDisconnects(now, request);
        }
    }

    private void request(int step) {
        PolicyRequest request =
                new PolicyRequest(step, random.nextInt(3), random.nextInt(2), 200 + random.nextInt(900), false);
        harness.requestArrives(now, request);
    }

    private void endAttempt() {
        AttemptOutcome[] outcomes = AttemptOutcome.values();
        ForwardedAttempt attempt = inFlight.remove(random.nextInt(inFlight.size()));
        AttemptOutcome outcome = outcomes[random.nextInt(3) == 0 ? random.nextInt(outcomes.length) : 0];
        PolicyRequest request = attempt.request();
        boolean finished = outcome == AttemptOutcome.SUCCESS || harness.answered(request);
        if (outcome == AttemptOutcome.SUCCESS) {
            harness.noteAnswer(request, FinalAnswer.SERVED);
        }
        double durationMillis = now - attempt.sentAt();
        harness.endAttempt(now, attempt, outcome, durationMillis, finished, null);
        if (random.nextInt(10) == 0) {
            harness.endAttempt(now, attempt, outcome, durationMillis, true, null);
        }
        assertTrue(
                harness.answered(request) || harness.isInFlight(request),
                "unanswered without an attempt in flight: " + request.id());
    }

    private void changeEndpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        boolean full = random.nextBoolean();
        for (int i = 0; i < ENDPOINTS; i++) {
            if (full || random.nextInt(4) == 0) {
                statuses[i] = EndpointStatus.values()[random.nextInt(3) == 0 ? random.nextInt(3) : 0];
                startedAt[i] = random.nextInt(4) == 0 ? now : startedAt[i];
                String zone = "z" + i % RepeatRuleCheck.ZONES;
                endpoints.add(new Endpoint("s" + i, statuses[i], 1, zone, i / ENDPOINTS_IN_CELL, startedAt[i]));
            }
        }
        harness.watchEvent(now, full ? WatchEvent.SNAPSHOT : WatchEvent.DELTA, endpoints);
    }

    private void endProbe() {
        // Some of these endpoints are unknown.
        String endpoint = "s" + random.nextInt(ENDPOINTS + 2);
        LoadReport report =
                new LoadReport(random.nextInt(6), random.nextInt(5), Double.NaN, Double.NaN, Double.NaN, Double.NaN);
        harness.probeEnds(now, endpoint, report);
    }

    /** Takes note of new attempts; each must have gone to an endpoint that the list calls ready. */
    private void collectForwarded() {
        List<ForwardedAttempt> all = harness.forwardedAttempts();
        for (ForwardedAttempt attempt : all.subList(forwardedSeen, all.size())) {
            inFlight.add(attempt);
            assertEquals(
                    EndpointStatus.READY,
                    statuses[Endpoints.number(attempt.endpoint())],
                    "sent to " + attempt.endpoint());
        }
        forwardedSeen = all.size();
    }
}
