package loadbalancer.faultsearch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.testing.EndpointRegistry.Host;

/** What was true in a run, what each process was told of it, and where requests went. Times are in milliseconds. */
final class DrainRecords {
    /** One life of an endpoint, from one of its starts to the next. */
    static final class Life {
        final int endpoint;
        final long startedAtMillis;
        final double fromMillis;
        double retiredMillis = Double.POSITIVE_INFINITY;
        double takenBackMillis = Double.POSITIVE_INFINITY;
        /** Since when each service knows that it is retired. */
        final double[] knownToServiceMillis = {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY};
        /** When each process was told so first, by its number. */
        final Map<Integer, Double> toldMillis = new HashMap<>();

        Life(int endpoint, long startedAtMillis, double fromMillis) {
            this.endpoint = endpoint;
            this.startedAtMillis = startedAtMillis;
            this.fromMillis = fromMillis;
        }

        boolean retired() {
            return Double.isFinite(retiredMillis) && !Double.isFinite(takenBackMillis);
        }
    }

    /** A process, and which service it called from when on. */
    static final class Process {
        final int number;
        final double startedMillis;
        final List<Double> moveMillis = new ArrayList<>();
        final List<Integer> services = new ArrayList<>();
        /** When lists came on its calls. */
        final List<Double> watchOpenedMillis = new ArrayList<>();

        Process(int number, double startedMillis, int service) {
            this.number = number;
            this.startedMillis = startedMillis;
            moved(startedMillis, service);
        }

        void moved(double atMillis, int service) {
            moveMillis.add(atMillis);
            services.add(service);
        }

        int service() {
            return services.get(services.size() - 1);
        }

        /** Returns the service that it calls at a time; the first one before it calls any. */
        int serviceAt(double millis) {
            int at = services.get(0);
            for (int i = 0; i < services.size(); i++) {
                at = moveMillis.get(i) <= millis ? services.get(i) : at;
            }
            return at;
        }
    }

    /** A request that an endpoint got. */
    record Arrival(Process process, int endpoint, double millis) {}

    final List<Life> lives = new ArrayList<>();
    final List<Process> processes = new ArrayList<>();
    final List<Arrival> arrivals = new ArrayList<>();
    /** When all connections of a process with a list went dark. */
    final List<Double> darkMillis = new ArrayList<>();

    final List<String> timeline = new ArrayList<>();
    int calls;

    Process process() {
        return processes.get(processes.size() - 1);
    }

    /** Returns the present life of an endpoint. */
    Life life(int endpoint) {
        return lives.stream()
                .filter(life -> life.endpoint == endpoint)
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    /** Something came on a call of a process; with a list the call is an open watch. */
    void arrived(int process, boolean list, double millis) {
        if (list) {
            processes.get(process).watchOpenedMillis.add(millis);
        }
    }

    /** A process has been told that these endpoints drain or are gone, on the call that began at this time. */
    void told(int process, List<Host> retired, double millis, double callBegunMillis) {
        for (Host host : retired) {
            for (Life life : lives) {
                if (host.id().equals(VirtualRun.endpointId(life.endpoint))
                        && host.startedAtMillis() == life.startedAtMillis) {
                    if (life.toldMillis.putIfAbsent(process, millis) == null) {
                        timeline.add(String.format(
                                Locale.ROOT,
                                "%9.1f told: process %d of %s, on a call begun at %.1f",
                                millis,
                                process,
                                host,
                                callBegunMillis));
                    }
                }
            }
        }
    }
}
