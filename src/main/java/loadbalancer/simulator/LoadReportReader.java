package loadbalancer.simulator;

import loadbalancer.policy.LoadReport;

/** Reads load reports: pairs of name and value, of which unknown ones are ignored. */
final class LoadReportReader {
    private static final String FIELD = "telemetry";

    private final WireReader in;
    private double inFlight;
    private double queued;
    private double utilization;
    private double latencyMillis;
    private double requestsPerSecond;
    private double errorsPerSecond;

    LoadReportReader(WireReader in) {
        this.in = in;
    }

    /** Reads the next field; returns null if no report is attached. */
    LoadReport read() {
        if (!in.pairs(FIELD)) {
            return null;
        }
        clear();
        while (in.nextPair()) {
            readPair();
        }
        return new LoadReport(inFlight, queued, utilization, latencyMillis, requestsPerSecond, errorsPerSecond);
    }

    private void clear() {
        inFlight = Double.NaN;
        queued = Double.NaN;
        utilization = Double.NaN;
        latencyMillis = Double.NaN;
        requestsPerSecond = Double.NaN;
        errorsPerSecond = Double.NaN;
    }

    private void readPair() {
        if (in.pairNameIs("inflight")) {
            inFlight = in.pairNumber();
        } else if (in.pairNameIs("queue")) {
            queued = in.pairNumber();
        } else if (in.pairNameIs("util")) {
            utilization = in.pairNumber();
        } else if (in.pairNameIs("latency_ms")) {
            latencyMillis = in.pairNumber();
        } else if (in.pairNameIs("qps")) {
            requestsPerSecond = in.pairNumber();
        } else if (in.pairNameIs("eps")) {
            errorsPerSecond = in.pairNumber();
        }
    }
}
