package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import loadbalancer.policy.SlowStartScenario.Disturbance;

/** All sidecars and endpoints of a {@link SlowStartScenario} under one simulated clock. */
final class SlowStartFleet {
    private static final double START_AT = SlowStartEndpoint.START_AT;
    private static final double ROLLING_GAP_MILLIS = 300;
    /** From so long after the start an endpoint has to get its part. */
    private static final double SETTLED_MILLIS = 5000;
    /** From this time to the start the traffic counts as that of a warm endpoint. */
    private static final double WARM_FROM = 5000;

    private static final double IDLE_BEFORE_START_MILLIS = 8000;
    private static final int ENDPOINTS_IN_ZONE = 4;

    private final SlowStartScenario scenario;
    private final Random random;
    private final SimulatedClock clock = new SimulatedClock();
    private final List<SlowStartEndpoint> endpoints = new ArrayList<>();
    private final List<SlowStartSidecar> sidecars = new ArrayList<>();
    private final List<SlowStartEndpoint> starting;

    SlowStartFleet(SlowStartScenario scenario, long seed) {
        this.scenario = scenario;
        random = new Random(seed);
        for (int i = 0; i < scenario.endpoints(); i++) {
            endpoints.add(new SlowStartEndpoint("s" + i, scenario, clock, random));
        }
        for (int i = 0; i < scenario.sidecars(); i++) {
            sidecars.add(new SlowStartSidecar(scenario, clock, random, endpoints));
        }
        // Spread over the fleet by a step that shares no factor with its size.
        starting = IntStream.range(0, scenario.starting())
                .mapToObj(i -> endpoints.get(i * 7 % scenario.endpoints()))
                .toList();
    }

    /** Runs the scenario to the end of the slow start. */
    SlowStartFleet run() {
        startSidecars();
        scheduleEndpointStarts();
        clock.runUntil(START_AT + scenario.rules().slowStartMillis());
        return this;
    }

    private void startSidecars() {
        List<Endpoint> before = endpoints.stream()
                .filter(endpoint -> !scenario.has(Disturbance.JOINING) || !starting.contains(endpoint))
                .map(this::entry)
                .toList();
        double meanPerMillis =
                scenario.load() * scenario.endpoints() * scenario.ratePerSecond() / scenario.sidecars() / 1000;
        for (int i = 0; i < sidecars.size(); i++) {
            SlowStartSidecar sidecar = sidecars.get(i);
            sidecar.start(before);
            scheduleArrival(sidecar, meanPerMillis * loadFactor(i));
        }
    }

    // A sixth of an uneven fleet has four times the mean, the rest two fifths of it.
    private double loadFactor(int sidecar) {
        if (!scenario.has(Disturbance.UNEVEN)) {
            return 1;
        }
        return sidecar % 6 == 0 ? 4 : 0.4;
    }

    // A Poisson process at the highest rate, thinned to the rate of the moment.
    private void scheduleArrival(SlowStartSidecar sidecar, double ratePerMillis) {
        double maxFactor = scenario.burstFactor();
        double gapMillis = -Math.log(1 - random.nextDouble()) / (ratePerMillis * maxFactor);
        clock.at(clock.now() + gapMillis, () -> {
            if (random.nextDouble() * maxFactor < momentaryFactor()) {
                sidecar.request();
            }
            scheduleArrival(sidecar, ratePerMillis);
        });
    }

    private double momentaryFactor() {
        double sinceStart = clock.now() - START_AT;
        if (scenario.has(Disturbance.IDLE)
                && sinceStart > -IDLE_BEFORE_START_MILLIS
                && sinceStart < scenario.rules().slowStartMillis() / 4) {
            return 0;
        }
        boolean inBurst = sinceStart >= 0 && sinceStart % scenario.burstEveryMillis() < scenario.burstMillis();
        return inBurst ? scenario.burstFactor() : 1;
    }

    private void scheduleEndpointStarts() {
        double gapMillis = scenario.has(Disturbance.ROLLING) ? ROLLING_GAP_MILLIS : 0;
        for (int i = 0; i < starting.size(); i++) {
            SlowStartEndpoint endpoint = starting.get(i);
            clock.at(START_AT + i * gapMillis, () -> {
                endpoint.restart();
                List<Endpoint> changed = List.of(entry(endpoint));
                sidecars.forEach(sidecar -> sidecar.endpointsChanged(changed));
            });
        }
    }

    private Endpoint entry(SlowStartEndpoint endpoint) {
        return endpoint.listEntry("z" + endpoints.indexOf(endpoint) / ENDPOINTS_IN_ZONE);
    }

    /** The greatest share that a starting endpoint got of what it bears; over 1 it was overloaded. */
    double worstOverload() {
        return starting.stream()
                .mapToDouble(SlowStartEndpoint::worstOverload)
                .max()
                .orElse(0);
    }

    /** What starting endpoints got from some seconds on, against what they got when warm for what they serve. */
    double partOfWarmTraffic() {
        double slowStartMillis = scenario.rules().slowStartMillis();
        double whileStarting = 0;
        double whileWarm = 0;
        for (SlowStartEndpoint endpoint : starting) {
            whileStarting += endpoint.arrivalsBetween(START_AT + SETTLED_MILLIS, Double.POSITIVE_INFINITY);
            whileWarm += endpoint.arrivalsBetween(WARM_FROM, START_AT);
        }
        double fraction = (scenario.capacityFraction(SETTLED_MILLIS) + scenario.capacityFraction(slowStartMillis)) / 2;
        double warmPerMillis = whileWarm / (START_AT - WARM_FROM);
        return whileStarting / (warmPerMillis * fraction * (slowStartMillis - SETTLED_MILLIS));
    }
}
