package loadbalancer.upstream;

import java.util.List;
import loadbalancer.policy.LoadReport;
import loadbalancer.protocol.Decimals;

/** Parses the load report that an endpoint's response may carry, such as {@code util=0.61,qps=44}. */
final class LoadReportParser {
    /** A bound of our own: no endpoint has more of anything, and a larger figure would distort the policy's means. */
    private static final double MAX_VALUE = 1e6;

    private LoadReportParser() {}

    /** The report in these headers; null unless there is exactly one and it is well formed. */
    static LoadReport parse(List<String> headers) {
        return headers.size() == 1 ? parse(headers.get(0)) : null;
    }

    /** The report, or null if any part of it is malformed: an incomplete report would mislead. */
    static LoadReport parse(String text) {
        double inFlight = Double.NaN;
        double queued = Double.NaN;
        double utilization = Double.NaN;
        double latencyMillis = Double.NaN;
        double requestsPerSecond = Double.NaN;
        double errorsPerSecond = Double.NaN;
        for (String field : text.split(",", -1)) {
            int separator = field.indexOf('=');
            double value = separator < 0
                    ? Double.NaN
                    : Decimals.parse(field.substring(separator + 1).trim(), MAX_VALUE);
            if (Double.isNaN(value)) {
                return null;
            }
            switch (field.substring(0, separator).trim()) {
                case "inflight" -> inFlight = value;
                case "queue" -> queued = value;
                case "util" -> utilization = value;
                case "latency_ms" -> latencyMillis = value;
                case "qps" -> requestsPerSecond = value;
                case "eps" -> errorsPerSecond = value;
                default -> {}
            }
        }
        return new LoadReport(inFlight, queued, utilization, latencyMillis, requestsPerSecond, errorsPerSecond);
    }
}
