package loadbalancer.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.soak.SoakRecords.Arrival;
import loadbalancer.soak.SoakRecords.ClientRequest;
import loadbalancer.soak.SoakRecords.End;
import loadbalancer.soak.SoakRecords.EndpointChange;
import loadbalancer.soak.SoakRecords.Event;

/**
 * Checks the operators' rules on what the stand-ins of a run recorded. It uses none of the program's classes. Times are
 * in milliseconds.
 */
final class SoakOracle {
    /** Every time limit is longer by this much on sockets. */
    private static final double SLACK_MILLIS = 50;

    private static final double NOTIFIED_WITHIN_MILLIS = 6000;
    private static final double MOVED_WITHIN_MILLIS = 4000;
    private static final double LOST_AFTER_MILLIS = 500;
    private static final double CLIENT_LEFT_MILLIS = 100;
    /** A process may be held up for so long between reading its clock and writing. */
    private static final double MAX_PAUSE_MILLIS = 150;
    /** A close may cross a request on a connection that was idle; one that comes later has read it. */
    private static final double CROSSING_CLOSE_MILLIS = 200;

    private static final double READY_WITHIN_MILLIS = 10_000;
    private static final double HALF_REQUEST_MILLIS = 3000;
    private static final long MAX_MEMORY_KIB = 192 * 1024;
    /** Of so many requests on, the budget of a cold endpoint has the lower of its two forms. */
    private static final double LARGE_BUDGET = 30;

    private final SoakDeployment deployment;
    private final SoakRecords records;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, ClientRequest> requestsById = new HashMap<>();
    /** The requests that an endpoint got, and that the sidecar so had read. */
    private final Set<String> forwarded = new HashSet<>();

    private int checkedDrains;
    private int excusedByMachine;
    private int excusedByCalls;

    SoakOracle(SoakDeployment deployment, SoakRecords records) {
        this.deployment = deployment;
        this.records = records;
        records.requests.forEach(request -> requestsById.put(request.id(), request));
        records.arrivals.forEach(arrival -> forwarded.add(arrival.id()));
    }

    /** Returns what was violated, one line each. */
    List<String> check(List<SoakProcess> processes) throws IOException {
        records.requests.forEach(this::checkAnswer);
        checkArrivals();
        records.changes.stream().filter(change -> !change.start()).forEach(this::checkDrain);
        records.changes.stream().filter(EndpointChange::start).forEach(this::checkSlowStart);
        records.events.forEach(this::checkEvent);
        for (SoakProcess process : processes) {
            checkStarts(process.index());
            checkLogs(process);
        }
        return violations;
    }

    private void violated(String rule, String what) {
        violations.add(rule + ": " + what);
    }

    private boolean killedBetween(int sidecar, double fromMillis, double untilMillis) {
        return records.events(sidecar, "SIGKILL").stream()
                .anyMatch(event -> event.what().equals("SIGKILL")
                        && event.millis() >= fromMillis - SLACK_MILLIS
                        && event.millis() <= untilMillis + SLACK_MILLIS);
    }

    private void checkAnswer(ClientRequest request) {
        if (request.end() == End.CLIENT_LEFT
                || killedBetween(request.sidecar(), request.sentMillis(), request.endMillis())) {
            return;
        }
        double tookMillis = request.endMillis() - request.sentMillis();
        double limitMillis = request.timeoutMillis()
                + LOST_AFTER_MILLIS
                + SLACK_MILLIS
                + records.machineDelay(request.sidecar(), request.sentMillis(), request.endMillis());
        boolean crossing = request.end() == End.CLOSED
                && request.reused()
                && tookMillis < CROSSING_CLOSE_MILLIS
                && !forwarded.contains(request.id());
        // A client that the machine held up may have stopped waiting before the answer was due.
        boolean waited = request.end() == End.ANSWERED || request.end() == End.NO_ANSWER;
        if (waited ? tookMillis > limitMillis : !crossing) {
            violated("lost", request.toString());
        }
    }

    private void checkArrivals() {
        Map<String, List<Arrival>> byRequest = new HashMap<>();
        for (Arrival arrival : records.arrivals) {
            byRequest.computeIfAbsent(arrival.id(), id -> new ArrayList<>()).add(arrival);
        }
        byRequest.values().forEach(arrivals -> {
            arrivals.sort(Comparator.comparingDouble(Arrival::millis));
            if (arrivals.size() > deployment.maxAttempts()) {
                violated("attempts", arrivals.toString());
            }
            for (int i = 1; i < arrivals.size(); i++) {
                checkRepeat(arrivals.get(i), arrivals.subList(0, i));
            }
            arrivals.forEach(this::checkClientThere);
        });
    }

    private void checkRepeat(Arrival repeat, List<Arrival> before) {
        for (Arrival earlier : before) {
            double agoMillis = repeat.millis() - earlier.millis();
            boolean safe = repeat.kind().equals("status")
                    || !earlier.mayHaveRun()
                    || (repeat.kind().equals("pay")
                            && agoMillis
                                    <= deployment.windowMillis()
                                            + SLACK_MILLIS
                                            + records.machineDelay(repeat.sidecar(), repeat.millis()));
            if (!safe) {
                violated("duplicate", repeat + " after " + earlier);
            }
        }
    }

    private void checkClientThere(Arrival arrival) {
        ClientRequest request = requestsById.get(arrival.id());
        if (request == null) {
            return;
        }
        double limitMillis = request.endMillis()
                + CLIENT_LEFT_MILLIS
                + MAX_PAUSE_MILLIS
                + SLACK_MILLIS
                + records.machineDelay(arrival.sidecar(), arrival.millis());
        if (request.end() == End.CLIENT_LEFT && arrival.millis() > limitMillis) {
            violated("lost", arrival + " began after its client had left: " + request);
        }
    }

    /**
     * What the checks of requests to endpoints that leave rest on.
     *
     * @param checked requests after an endpoint had left
     * @param excusedByMachine of these, how many would be too late but for the time in which the machine stood still
     * @param excusedByCalls of these, how many would be too late but for calls that no client could have had answered
     */
    record DrainChecks(int checked, int excusedByMachine, int excusedByCalls) {}

    private void checkDrain(EndpointChange change) {
        for (Arrival arrival : records.arrivals) {
            if (arrival.endpoint().equals(change.endpoint()) && arrival.millis() > change.millis()) {
                checkDrain(change, arrival);
            }
        }
    }

    private void checkDrain(EndpointChange change, Arrival arrival) {
        double fromMillis = Math.max(change.millis(), startedMillis(arrival));
        double toldMillis = toldMillis(change, arrival, fromMillis);
        double knownMillis = Math.min(toldMillis, dueMillis(arrival.sidecar(), fromMillis, answeredMillis(fromMillis)));
        double allowedMillis = deployment.graceMillis() + SLACK_MILLIS;
        double machineMillis = records.machineDelay(arrival.sidecar(), arrival.millis());
        checkedDrains++;
        if (arrival.millis() > knownMillis + allowedMillis + machineMillis) {
            violated("drain", arrival + " after " + change + ", known from " + knownMillis);
        } else if (arrival.millis() > knownMillis + allowedMillis) {
            excusedByMachine++;
        } else if (arrival.millis() > dueMillis(arrival.sidecar(), fromMillis, fromMillis) + allowedMillis) {
            excusedByCalls++;
        }
    }

    /** Returns what the checks of drains rested on. */
    DrainChecks drainChecks() {
        return new DrainChecks(checkedDrains, excusedByMachine, excusedByCalls);
    }

    /** Returns when discovery had written a change to the process that sent a request; infinity if never. */
    private double toldMillis(EndpointChange change, Arrival arrival, double fromMillis) {
        return records.told.stream()
                .filter(entry -> entry.sidecar() == arrival.sidecar()
                        && entry.endpoint().equals(change.endpoint())
                        && entry.millis() >= fromMillis)
                .mapToDouble(SoakRecords.Told::millis)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /**
     * Returns when a change counts as told whether it has come or not.
     *
     * @param answeredMillis from when on calls to discovery are answered
     */
    private double dueMillis(int sidecar, double fromMillis, double answeredMillis) {
        return deployment.listPushed()
                ? agentMillis(sidecar, fromMillis, answeredMillis)
                : answeredMillis + NOTIFIED_WITHIN_MILLIS;
    }

    private double startedMillis(Arrival arrival) {
        return records.events(arrival.sidecar(), "started").stream()
                .mapToDouble(Event::millis)
                .filter(millis -> millis <= arrival.millis())
                .max()
                .orElse(0);
    }

    /**
     * "What the agent has counts as told", at the earliest when a call could be answered; 4 s after a move; what a
     * silent watch misses 6 s after it fell silent.
     */
    private double agentMillis(int sidecar, double fromMillis, double answeredMillis) {
        double dueMillis = answeredMillis > fromMillis ? answeredMillis + MAX_PAUSE_MILLIS : fromMillis;
        for (Event move : records.events(sidecar, "SIGHUP")) {
            boolean before = move.millis() <= dueMillis;
            dueMillis = before ? Math.max(dueMillis, move.millis() + MOVED_WITHIN_MILLIS) : dueMillis;
        }
        for (SoakRecords.Silence silence : records.silences) {
            boolean missed = silence.sidecar() == sidecar
                    && silence.millis() <= fromMillis
                    && fromMillis <= silence.millis() + NOTIFIED_WITHIN_MILLIS;
            dueMillis = missed ? Math.max(dueMillis, silence.millis() + NOTIFIED_WITHIN_MILLIS) : dueMillis;
        }
        return dueMillis;
    }

    /** Returns the first moment from this one on at which calls were answered: later trouble gives no time back. */
    private double answeredMillis(double fromMillis) {
        double answeredMillis = fromMillis;
        double failingSince = Double.NaN;
        for (Event event : records.events(-1, "calls ")) {
            if (event.what().equals("calls fail")) {
                failingSince = event.millis();
            } else if (failingSince <= answeredMillis && event.millis() > answeredMillis) {
                answeredMillis = event.millis();
            }
        }
        return answeredMillis;
    }

    /** This one is taken for an endpoint of the mean rate of all: the stand-ins have no capacity of their own. */
    private void checkSlowStart(EndpointChange start) {
        List<Double> times = records.arrivals.stream()
                .filter(arrival -> arrival.endpoint().equals(start.endpoint()))
                .map(Arrival::millis)
                .filter(millis -> millis <= start.millis() + SoakDeployment.SLOW_START_MILLIS)
                .sorted()
                .toList();
        for (int first = 0; first < times.size(); first++) {
            double fromMillis = times.get(first);
            double untilMillis = fromMillis + SoakDeployment.OVERLOAD_WINDOW_MILLIS;
            long count = times.stream()
                    .filter(millis -> millis >= fromMillis && millis < untilMillis)
                    .count();
            long all = records.arrivals.stream()
                    .filter(arrival -> arrival.millis() >= fromMillis && arrival.millis() < untilMillis)
                    .count();
            double progress = (untilMillis - start.millis()) / SoakDeployment.SLOW_START_MILLIS;
            double fraction = Math.min(
                    1, SoakDeployment.SLOW_START_FRACTION + (1 - SoakDeployment.SLOW_START_FRACTION) * progress);
            double allowed =
                    SoakDeployment.OVERLOAD_MULTIPLE * fraction * all / Math.max(1, deployment.endpoints() / 2);
            double root = Math.sqrt(allowed);
            double budget = allowed < LARGE_BUDGET ? allowed + 3 * root + 3 : allowed + 2 * root + 2;
            if (count > budget) {
                violated("failback", count + " requests to " + start + " from " + fromMillis + ", allowed " + budget);
                return;
            }
        }
    }

    private void checkEvent(Event event) {
        String what = event.what();
        if (what.startsWith("wrong body")) {
            violated("lost", event.toString());
        } else if (what.equals("never ready") || what.equals("crashed")) {
            violated("crash", event.toString());
        } else if (what.startsWith("half a request")) {
            double fromMillis = Double.parseDouble(what.substring(what.lastIndexOf(' ') + 1));
            double limitMillis = fromMillis
                    + HALF_REQUEST_MILLIS
                    + records.machineDelay(event.sidecar(), fromMillis, event.millis());
            if (event.millis() > limitMillis
                    && !killedBetween(event.sidecar(), fromMillis, fromMillis + HALF_REQUEST_MILLIS)) {
                violated("abuse", event.toString());
            }
        } else if (what.startsWith("peak memory")) {
            if (Long.parseLong(what.replaceAll("\\D", "")) > MAX_MEMORY_KIB) {
                violated("memory", event.toString());
            }
        } else if (what.startsWith("descriptors")
                && Integer.parseInt(what.replaceAll("\\D", "")) > SoakDeployment.SOCKETS) {
            violated("descriptors", event.toString());
        }
    }

    /** A process that replaces another one; the first ones start all together on one machine. */
    private void checkStarts(int sidecar) {
        double startedMillis = Double.NaN;
        int starts = 0;
        for (Event event : records.events) {
            if (event.sidecar() != sidecar) {
                continue;
            }
            if (event.what().equals("started")) {
                startedMillis = event.millis();
                starts++;
            }
            if (event.what().equals("ready") && starts > 1) {
                checkReady(sidecar, startedMillis, event.millis());
            }
        }
    }

    private void checkReady(int sidecar, double startedMillis, double readyMillis) {
        double tookMillis = readyMillis - startedMillis;
        if (tookMillis > READY_WITHIN_MILLIS + records.machineDelay(sidecar, startedMillis, readyMillis)) {
            violated("start", "sidecar " + sidecar + " took " + tookMillis);
        }
    }

    private void checkLogs(SoakProcess process) throws IOException {
        for (Path log : process.logs()) {
            for (String line : Files.readAllLines(log)) {
                if (line.contains("rule violated:")
                        || line.contains("Exception")
                        || line.contains("policy event failed")) {
                    violated("log", log.getFileName() + " of sidecar " + process.index() + ": " + line);
                }
            }
        }
    }
}
