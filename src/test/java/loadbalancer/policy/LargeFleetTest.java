package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Troubles met in large fleets of light sidecars, singly and together; each guard has one test that needs it. */
class LargeFleetTest {
    private static final RequestClass HIGH = Rig.kind("high", 6, Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    private static final RequestClass LOW = Rig.kind("low", 2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    private static final RequestClass CELL = Rig.kind("cell", 2, Idempotency.WITH_KEY, DeduplicationScope.CELL);

    private static Rig rig(LoadReporting reporting, int sidecars, List<Endpoint> fleet, RequestClass... classes) {
        PolicySettings s = Rig.settings(false, classes);
        PolicyLimits l = s.limits();
        PolicyLimits limits = new PolicyLimits(
                l.maxAttempts(), false, true, reporting == LoadReporting.WITH_PROBES, false, true, 2000, 0.002);
        Rig rig = new Rig(
                new PolicySettings(s.classes(), s.tenants(), 1, limits, s.rules(), reporting, false, sidecars, 0), 5);
        rig.module.start(0);
        rig.module.endpointsChanged(0, WatchEvent.SNAPSHOT, fleet);
        return rig;
    }

    private static Endpoint server(String id, double size, int cell, double startedAt) {
        return new Endpoint(id, EndpointStatus.READY, size, "z", cell, startedAt);
    }

    /** How one attempt ends: by the server and the class. */
    private interface Script {
        AttemptOutcome end(String server, int kind);
    }

    private interface Reports {
        LoadReport of(String server);
    }

    /** One request each {@code gap}, its attempts ended at once; counts first attempts by server and class. */
    private static Map<String, Integer> drive(
            Rig rig, double from, double to, double gap, Script script, Reports reports) {
        Map<String, Integer> count = new HashMap<>();
        int i = 0;
        for (double now = from; now < to; now += gap, i++) {
            rig.runTo(now);
            int kind = i % rig.classCount();
            PolicyRequest r = rig.ask(now, kind);
            if (rig.sends(r) == 0) {
                count.merge("refused", 1, Integer::sum);
                continue;
            }
            count.merge(rig.lastServer(r) + "/" + kind, 1, Integer::sum);
            for (int tries = 0; !rig.answers.containsKey(r.id()) && tries < 6; tries++) {
                String s = rig.lastServer(r);
                AttemptOutcome o = script.end(s, kind);
                rig.module.attemptEnded(
                        now,
                        r,
                        rig.sends(r) - 1,
                        o,
                        o == AttemptOutcome.SUCCESS ? 50 : 1,
                        o == AttemptOutcome.SUCCESS,
                        reports.of(s));
                if (o == AttemptOutcome.SUCCESS) {
                    break;
                }
            }
        }
        return count;
    }

    private static LoadReport report(double util, double perSecond) {
        return new LoadReport(Double.NaN, Double.NaN, util, Double.NaN, perSecond, 0);
    }

    private static int of(Map<String, Integer> count, String key) {
        return count.getOrDefault(key, 0);
    }

    @Test
    void anErrorShutsItsServerForItsClassOnly() {
        Rig rig = rig(LoadReporting.NONE, 4, Rig.fleet(4), HIGH, LOW);
        Map<String, Integer> n = drive(
                rig,
                1,
                20000,
                10,
                (s, k) -> s.equals("s2") && k == 0 ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS,
                s -> null);
        assertTrue(of(n, "s2/0") < of(n, "s1/0") / 3, "the class that fails there goes elsewhere: " + n);
        assertTrue(of(n, "s2/1") > of(n, "s1/1") / 2, "the class that it serves still comes: " + n);
    }

    @Test
    void oneClassFailingEverywhereLeavesTheOthersAlone() {
        Rig rig = rig(LoadReporting.NONE, 4, Rig.fleet(4), HIGH, LOW);
        drive(rig, 1, 20000, 10, (s, k) -> k == 0 ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS, s -> null);
        int low = 0;
        for (PolicyRequest r : rig.requests.values()) {
            low += r.classIndex() == 1 && rig.answers.containsKey(r.id()) ? 1 : 0;
        }
        assertTrue(low < 20, "of 1000 of the class that is served, not served: " + low);
        Map<String, Integer> n = drive(rig, 60000, 80000, 10, (s, k) -> AttemptOutcome.SUCCESS, s -> null);
        assertTrue(of(n, "refused") < 50, "and the class is back within a minute after it is mended: " + n);
    }

    @Test
    void aKeyedRequestThatMayHaveRunFindsItsCellOutsideTheSubset() {
        List<Endpoint> fleet = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            fleet.add(server("s" + i, 1, i / 2, 0));
        }
        Rig rig = rig(LoadReporting.NONE, 400, fleet, CELL);
        int again = 0;
        for (int i = 0; i < 30; i++) {
            double now = 1 + i * 400;
            rig.runTo(now);
            PolicyRequest r = rig.ask(now, 0);
            int first =
                    rig.sends(r) == 0 ? -1 : Integer.parseInt(rig.lastServer(r).substring(1));
            if (first >= 0) {
                rig.end(now + 10, r, AttemptOutcome.RESET, 10);
                if (rig.sends(r) == 2) {
                    assertEquals(
                            first ^ 1, Integer.parseInt(rig.lastServer(r).substring(1)), "its cell's other server");
                    again++;
                    rig.end(now + 20, r, AttemptOutcome.SUCCESS, 10);
                }
            }
        }
        assertTrue(again >= 5, "repeats went to the cell: " + again);
    }

    @Test
    void whatLeavesTheListLeavesNothingBehind() throws ReflectiveOperationException {
        Rig rig = rig(LoadReporting.NONE, 4, Rig.fleet(6), HIGH);
        List<PolicyRequest> out = new ArrayList<>();
        for (int round = 0; round < 500; round++) {
            double now = 10 + round * 100;
            rig.runTo(now);
            for (int i = 0; i < 4; i++) {
                PolicyRequest r = rig.ask(now, 0);
                if (rig.sends(r) > 0) {
                    out.add(r);
                }
            }
            List<Endpoint> next = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                next.add(Rig.up("r" + round + "-" + i));
            }
            next.add(next.get(0));
            if (round % 3 == 0) {
                next.set(1, new Endpoint("r" + round + "-1", EndpointStatus.DRAINING, 1, "z", 0, 0));
            }
            rig.module.endpointsChanged(now, WatchEvent.SNAPSHOT, next);
            if (round % 3 == 1) {
                rig.module.endpointsChanged(
                        now,
                        WatchEvent.DELTA,
                        List.of(new Endpoint("r" + round + "-2", EndpointStatus.REMOVED, 1, "z", 0, 0)));
            }
            while (out.size() > 10) {
                PolicyRequest r = out.remove(0);
                rig.end(now, r, AttemptOutcome.SUCCESS, 30);
            }
        }
        for (PolicyRequest r : out) {
            rig.end(60000, r, AttemptOutcome.SUCCESS, 30);
        }
        Field f = LossThrottlingPolicy.class.getDeclaredField("nodes");
        f.setAccessible(true);
        int kept = ((Map<?, ?>) f.get(rig.module)).size();
        assertTrue(kept <= 6, "3000 servers came and went, kept " + kept);
    }

    @Test
    void anEntryThatGoesBackInItsStartTimeStaysCold() {
        Rig rig = rig(LoadReporting.NONE, 4, Rig.fleet(4), HIGH);
        drive(rig, 1, 6000, 5, (s, k) -> AttemptOutcome.SUCCESS, s -> null);
        rig.module.endpointsChanged(6000, WatchEvent.DELTA, List.of(server("s1", 1, 0, 6000)));
        rig.module.endpointsChanged(6010, WatchEvent.DELTA, List.of(server("s1", 1, 0, 0)));
        Map<String, Integer> n = drive(rig, 6010, 8000, 5, (s, k) -> AttemptOutcome.SUCCESS, s -> null);
        assertTrue(of(n, "s1/0") < of(n, "s2/0") / 2, "an older list does not make it warm: " + n);
    }

    @Test
    void aReportedOverloadMovesTrafficAndLightSidecarsNeedIt() {
        Rig rig = rig(LoadReporting.WITH_RESPONSES, 400, Rig.fleet(3), HIGH);
        Map<String, Integer> n = drive(
                rig,
                1,
                30000,
                50,
                (s, k) -> AttemptOutcome.SUCCESS,
                s -> report(s.equals("s1") ? 1 : 0.5, s.equals("s1") ? 200 : 100));
        assertTrue(of(n, "s1/0") < of(n, "s2/0") * 0.8, "the busy one gets less: " + n);
        assertTrue(of(n, "refused") < 10, "and nothing is refused for it: " + n);
    }

    @Test
    void aServerThatDoesLessForItsBusyShareComesLater() {
        Rig rig = rig(LoadReporting.WITH_RESPONSES, 400, Rig.fleet(3), HIGH);
        Map<String, Integer> n =
                drive(rig, 1, 30000, 50, (s, k) -> AttemptOutcome.SUCCESS, s -> report(0.5, s.equals("s1") ? 20 : 100));
        assertTrue(of(n, "s1/0") < of(n, "s2/0") / 2, "a slow machine gets by its size: " + n);
        assertTrue(of(n, "s1/0") > 10, "and is not left out: " + n);
    }

    @Test
    void aDeclaredSizeOrdersTheWalkAndRefusesNothing() {
        Rig rig = rig(
                LoadReporting.NONE,
                400,
                List.of(server("s0", 1, 0, 0), server("s1", 4, 0, 0), server("s2", 4, 0, 0)),
                HIGH);
        Map<String, Integer> n = drive(rig, 1, 30000, 50, (s, k) -> AttemptOutcome.SUCCESS, s -> null);
        assertTrue(of(n, "s0/0") < of(n, "s1/0") * 0.6, "the small one gets less: " + n);
        assertEquals(0, of(n, "refused"));
    }

    @Test
    void absurdReportsCountAsNone() {
        double[] odd = {Double.NaN, -1, 9, Double.POSITIVE_INFINITY};
        Rig none = rig(LoadReporting.WITH_RESPONSES, 400, Rig.fleet(4), HIGH);
        Rig bad = rig(LoadReporting.WITH_RESPONSES, 400, Rig.fleet(4), HIGH);
        int[] n = new int[1];
        drive(none, 1, 9000, 30, (s, k) -> AttemptOutcome.SUCCESS, s -> null);
        drive(bad, 1, 9000, 30, (s, k) -> AttemptOutcome.SUCCESS, s -> {
            int i = n[0]++;
            return i % 5 == 4 ? report(1, i % 2 == 0 ? -3 : Double.POSITIVE_INFINITY) : report(odd[i % 4], 100);
        });
        assertEquals(none.actions, bad.actions);
    }

    @Test
    void probesOfALightSidecarAreSpreadBetweenItsRequests() {
        Rig rig = rig(LoadReporting.WITH_PROBES, 400, Rig.fleet(3), HIGH);
        int late = 0;
        int all = 0;
        for (double asked = 1000; asked < 40000; asked += 1000) {
            rig.runTo(asked);
            PolicyRequest r = rig.ask(asked, 0);
            if (rig.sends(r) > 0) {
                rig.end(asked, r, AttemptOutcome.SUCCESS, 50);
            }
            int before = rig.probes.size();
            rig.runTo(asked + 400);
            int early = rig.probes.size() - before;
            rig.runTo(asked + 999);
            all += rig.probes.size() - before;
            late += rig.probes.size() - before - early;
        }
        assertTrue(all > 50, "probes are sent: " + all);
        assertTrue(late > all / 3, "the next request finds fresh ones: " + late + " of " + all);
    }

    @Test
    void aSilentServerInARollingDeployLosesNoRequestAndKeepsTheColdOnesSpared() {
        Rig rig = rig(LoadReporting.NONE, 4, Rig.fleet(6), HIGH, LOW);
        drive(rig, 1, 5000, 10, (s, k) -> AttemptOutcome.SUCCESS, s -> null);
        Map<String, Integer> n = new HashMap<>();
        for (int i = 0; i < 5; i++) {
            double now = 5000 + i * 2000;
            rig.module.endpointsChanged(
                    now,
                    WatchEvent.DELTA,
                    List.of(new Endpoint("s" + i, EndpointStatus.REMOVED, 1, "z", 0, 0), server("n" + i, 1, 0, now)));
            drive(
                            rig,
                            now,
                            now + 2000,
                            10,
                            (s, k) -> s.equals("s5") ? AttemptOutcome.TIMED_OUT : AttemptOutcome.SUCCESS,
                            s -> null)
                    .forEach((k, v) -> n.merge(k, v, Integer::sum));
        }
        int served = 0;
        for (String k : n.keySet()) {
            served += k.startsWith("n") ? n.get(k) : 0;
        }
        assertTrue(served > 100, "the new ones take part: " + n);
        assertTrue(of(n, "s5/0") + of(n, "s5/1") < 150, "the silent one is shut out: " + n);
        for (PolicyRequest r : rig.requests.values()) {
            assertTrue(rig.sends(r) > 0 || rig.answers.containsKey(r.id()), "lost: " + r.id());
        }
    }

    @Test
    void withTheListOutOfReachDyingServersAreShutOutByTheirOutcomes() {
        Rig rig = rig(LoadReporting.NONE, 4, Rig.fleet(8), HIGH);
        drive(rig, 1, 5000, 10, (s, k) -> AttemptOutcome.SUCCESS, s -> null);
        rig.module.endpointsChanged(5000, WatchEvent.FAILED, List.of());
        Map<String, Integer> n = drive(
                rig,
                5000,
                25000,
                10,
                (s, k) -> s.charAt(1) < '3' ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.SUCCESS,
                s -> null);
        int dead = of(n, "s0/0") + of(n, "s1/0") + of(n, "s2/0");
        assertTrue(dead < 300, "of 2000 first attempts to the dead three: " + dead);
        assertTrue(of(n, "refused") < 60, "the rest carries it: " + n);
        assertTrue(rig.actions.contains("log endpoint list unavailable, using the last known list"));
    }

    @Test
    void aFleetThatStallsIsNotFilledByOneAttemptAtEachServer() {
        Rig rig = rig(LoadReporting.NONE, 14, Rig.fleet(60), HIGH);
        List<PolicyRequest> out = new ArrayList<>();
        int well = 0;
        for (double now = 1; now < 5000; now += 2.5) {
            rig.runTo(now);
            well = Math.max(well, out.size());
            while (out.size() >= 40) {
                rig.end(now, out.remove(0), AttemptOutcome.SUCCESS, 100);
            }
            PolicyRequest r = rig.ask(now, 0);
            if (rig.sends(r) > 0) {
                out.add(r);
            }
        }
        int refused = 0;
        for (double now = 5000; now < 5150; now += 2.5) {
            rig.runTo(now);
            PolicyRequest r = rig.ask(now, 0);
            if (rig.sends(r) > 0) {
                out.add(r);
            } else {
                assertEquals("refuse", rig.answers.get(r.id()), "given up at once");
                refused++;
            }
        }
        assertEquals(40, well, "what it holds when well");
        assertTrue(out.size() < 76, "of 60 more while nothing is answered, out: " + out.size());
        assertTrue(refused > 25, "and refused: " + refused);
    }

    @Test
    void aLightSidecarShutsAServerThatFailsTwiceInARow() {
        Rig rig = rig(LoadReporting.NONE, 14, Rig.fleet(20), HIGH);
        drive(rig, 1, 5000, 50, (s, k) -> AttemptOutcome.SUCCESS, s -> null);
        Map<String, Integer> n = drive(
                rig,
                5000,
                65000,
                50,
                (s, k) -> s.equals("s3") || s.equals("s4") || s.equals("s5")
                        ? AttemptOutcome.TIMED_OUT
                        : AttemptOutcome.SUCCESS,
                s -> null);
        int silent = of(n, "s3/0") + of(n, "s4/0") + of(n, "s5/0");
        assertTrue(silent > 0 && silent < 50, "first attempts to the three silent ones in a minute: " + silent);
        n = drive(rig, 65000, 85000, 50, (s, k) -> AttemptOutcome.SUCCESS, s -> null);
        int back = of(n, "s3/0") + of(n, "s4/0") + of(n, "s5/0");
        assertTrue(back > 20, "and once it serves it has its part again: " + back);
    }

    @Test
    void aServerThatIsOutIsTriedByOneRequestAtATime() {
        Rig rig = rig(LoadReporting.NONE, 4, Rig.fleet(8), HIGH);
        drive(rig, 1, 5000, 50, (s, k) -> AttemptOutcome.SUCCESS, s -> null);
        drive(rig, 5000, 7000, 50, (s, k) -> s.equals("s3") ? AttemptOutcome.RESET : AttemptOutcome.SUCCESS, s -> null);
        int out = 0;
        for (double now = 7000; now < 67000; now += 50) {
            rig.runTo(now);
            PolicyRequest r = rig.ask(now, 0);
            if ("s3".equals(rig.lastServer(r))) {
                out++;
            } else if (rig.sends(r) > 0) {
                rig.end(now, r, AttemptOutcome.SUCCESS, 50);
            }
        }
        assertEquals(1, out, "while the first hangs no other follows");
    }

    @Test
    void aQuietSidecarIsNotRefusedForChance() {
        Rig rig = rig(LoadReporting.NONE, 14, Rig.fleet(60), HIGH);
        java.util.Random chance = new java.util.Random(3);
        java.util.TreeMap<Double, PolicyRequest> out = new java.util.TreeMap<>();
        int asked = 0;
        for (double now = 1; now < 60000; now -= 12 * Math.log(1 - chance.nextDouble()), asked++) {
            while (!out.isEmpty() && out.firstKey() <= now) {
                double at = out.firstKey();
                rig.runTo(at);
                rig.end(at, out.remove(at), AttemptOutcome.SUCCESS, 200);
            }
            rig.runTo(now);
            PolicyRequest r = rig.ask(now, 0);
            if (rig.sends(r) > 0) {
                out.put(now + 200, r);
            }
        }
        long refused = rig.answers.values().stream().filter("refuse"::equals).count();
        assertTrue(refused < 200, "of " + asked + " requests, refused by chance: " + refused);
    }
}
