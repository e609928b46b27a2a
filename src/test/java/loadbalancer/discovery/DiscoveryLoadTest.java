package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The calls of a whole fleet at a service that handles them in turn, and when the last sidecar has the list. */
class DiscoveryLoadTest {
    /** All sidecars have open watches by then. */
    private static final double PREPARED_MILLIS = 10_000;

    private static final double OUTAGE_MILLIS = 30_000;
    private static final double OBSERVED_MILLIS = 60_000;
    private static final double SERVICE_MILLIS = 10;
    private static final double NOTIFIED_WITHIN_MILLIS = 6000;
    /** The term less the longest pause of a process. */
    private static final double USABLE_MILLIS = 5850;

    private static final double MOVED_WITHIN_MILLIS = 4000;

    private enum Event {
        START,
        OUTAGE,
        SILENCE,
        MOVE,
        CHANGES
    }

    private final ModelledFleet fleet = new ModelledFleet();

    /** Plays the event, and returns when discovery could be reached with a list that nobody had. */
    private double play(Event event) {
        double reachable = PREPARED_MILLIS;
        if (event == Event.START) {
            fleet.run(PREPARED_MILLIS);
            fleet.discovery.serviceTime(SERVICE_MILLIS);
            fleet.start();
        } else {
            fleet.start();
            fleet.run(PREPARED_MILLIS);
            fleet.discovery.serviceTime(SERVICE_MILLIS);
        }
        if (event == Event.OUTAGE) {
            fleet.discovery.setDown(true);
            fleet.sidecars.forEach(ModelledSidecar::failWatch);
            fleet.run(PREPARED_MILLIS + OUTAGE_MILLIS);
            fleet.discovery.setDown(false);
            reachable = fleet.now();
        } else if (event == Event.SILENCE) {
            fleet.sidecars.forEach(ModelledSidecar::silenceWatch);
        } else if (event == Event.MOVE) {
            fleet.sidecars.forEach(ModelledSidecar::move);
        } else if (event == Event.CHANGES) {
            fleet.sidecars.forEach(sidecar -> sidecar.setChanging(true));
        }
        fleet.run(reachable + OBSERVED_MILLIS);
        return reachable;
    }

    private double lastListedAfter(double reachable) {
        double last = 0;
        for (ModelledSidecar sidecar : fleet.sidecars) {
            double listedAt = sidecar.listedAtMillis();
            last = Math.max(last, listedAt >= reachable ? listedAt - reachable : Double.POSITIVE_INFINITY);
        }
        return last;
    }

    @ParameterizedTest
    @CsvSource({"START, 100", "OUTAGE, 100", "SILENCE, 100", "MOVE, 100"})
    void wholeFleetHasListInTime(Event event, int count) throws Exception {
        Result result = measure(event, count);
        double term = event == Event.MOVE ? MOVED_WITHIN_MILLIS : NOTIFIED_WITHIN_MILLIS;
        assertTrue(result.lastListedMillis() <= term, result::toString);
    }

    // Guards against calls that confirm watches and crowd the service, since the same changes make all of them
    // doubtful.
    @ParameterizedTest
    @CsvSource({"5", "30", "100", "840"})
    void steadyChangesCostOneCallOfEachSidecarInTermAtMost(int count) throws Exception {
        Result result = measure(Event.CHANGES, count);
        assertTrue(result.calls() <= count * OBSERVED_MILLIS / USABLE_MILLIS, result::toString);
    }

    // The service needs 8.4 s for one call of each, so that nobody could have them all notified in 6 s.
    @ParameterizedTest
    @CsvSource({"START, 840", "OUTAGE, 840", "SILENCE, 840", "MOVE, 840"})
    void wholeFleetHasListThoughServiceIsSlowerThanTheTerm(Event event, int count) throws Exception {
        Result result = measure(event, count);
        assertTrue(result.lastListedMillis() <= OBSERVED_MILLIS, result::toString);
    }

    // Guards against calls in waves that a crowded service rejects after 2 s of work it does in vain.
    @ParameterizedTest
    @CsvSource({"70, 50", "70, 67", "70, 80", "100, 50"})
    void restartedSidecarsHaveListInTimeFromServiceThatRejectsCalls(int count, double serviceMillis) throws Exception {
        fleet.add(count, count);
        fleet.discovery.rejectAfter(2000);
        fleet.run(PREPARED_MILLIS);
        fleet.discovery.serviceTime(serviceMillis);
        fleet.start();
        fleet.run(PREPARED_MILLIS + OBSERVED_MILLIS);
        double last = lastListedAfter(PREPARED_MILLIS);
        System.out.println(count + " sidecars at " + serviceMillis + " ms a call: " + last);
        assertTrue(last <= NOTIFIED_WITHIN_MILLIS, "the last after " + last);
    }

    // Guards against a spread so short for a middling fleet that a service which is busy rejects most of its calls.
    @ParameterizedTest
    @CsvSource({"42, 60, 100, 12", "28, 40, 150, 7", "21, 30, 200, 5", "14, 20, 300, 2"})
    void sevenInTenRestartedHaveListInTimeFromServiceThatIsBusy(
            int restarted, int fleetSize, double serviceMillis, int callsOfKilled) throws Exception {
        fleet.add(restarted, fleetSize);
        fleet.discovery.rejectAfter(2000);
        fleet.run(PREPARED_MILLIS);
        fleet.discovery.serviceTime(serviceMillis);
        fleet.discovery.enqueueAbandoned(callsOfKilled, fleet.now());
        fleet.start();
        fleet.run(PREPARED_MILLIS + OBSERVED_MILLIS);
        double last = lastListedAfter(PREPARED_MILLIS);
        System.out.println(restarted + " of " + fleetSize + " sidecars at " + serviceMillis + " ms a call: " + last);
        assertTrue(last <= NOTIFIED_WITHIN_MILLIS, "the last after " + last);
    }

    private record Result(Event event, int sidecars, double lastListedMillis, long calls, long peakPerSecond) {}

    private Result measure(Event event, int count) throws Exception {
        fleet.add(count, count);
        double reachable = play(event);
        Result result = new Result(
                event,
                count,
                lastListedAfter(reachable),
                fleet.discovery.callsFrom(PREPARED_MILLIS),
                fleet.discovery.peakCallsPerSecond(PREPARED_MILLIS));
        System.out.println(result);
        return result;
    }
}
