package loadbalancer.discovery;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.eventloop.Clock;
import loadbalancer.policy.ListCurrency;

/**
 * What an on-call engineer reads about the endpoint list: the version in force, and the calls of an outage, which
 * begins with the first call that ends without a list and lasts until a list comes. The number of lines is bounded
 * whatever discovery does: none belongs to a single call.
 */
final class DiscoveryLog {
    private static final double MIN_VERSION_INTERVAL_MILLIS = 1000;
    private static final double OUTAGE_LINE_INTERVAL_MILLIS = 5000;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double TENTHS = 10;

    private final Clock clock;
    private final ListCurrency currency;
    private final Consumer<String> log;
    private final Map<CallEnd, Integer> ends = new EnumMap<>(CallEnd.class);
    private int begun;
    /** NaN while no outage is known. */
    private double outageSinceMillis = Double.NaN;

    private double lastOutageLineMillis;
    /** The version in force, or null if no list has come since the start. */
    private Long version;

    private Long loggedVersion;
    private double versionLoggedMillis = Double.NEGATIVE_INFINITY;
    private double replacementLoggedMillis = Double.NEGATIVE_INFINITY;

    DiscoveryLog(Clock clock, ListCurrency currency, Consumer<String> log) {
        this.clock = clock;
        this.currency = currency;
        this.log = log;
    }

    void callBegun() {
        begun++;
    }

    /**
     * A call ended without a list, or a watch ended, that long after the call began.
     *
     * @param nextCallMillis when the next call begins; NaN if one waits or none is due
     */
    void callEnded(CallEnd end, double ageMillis, double nextCallMillis) {
        ends.merge(end, 1, Integer::sum);
        if (!inOutage()) {
            outageSinceMillis = clock.now();
            lastOutageLineMillis = outageSinceMillis;
            log.accept("endpoint list unavailable: " + end.description() + " " + seconds(ageMillis)
                    + " after the call began; " + listInUse() + nextCall(nextCallMillis));
        }
    }

    private String nextCall(double nextCallMillis) {
        return Double.isNaN(nextCallMillis)
                ? ""
                : "; next call in " + Math.round(Math.max(0, nextCallMillis - clock.now())) + " ms";
    }

    /** An open watch that can be relied on is closed for a call that was answered this long after it began. */
    void watchReplaced(double answeredAfterMillis) {
        double now = clock.now();
        if (now - replacementLoggedMillis >= OUTAGE_LINE_INTERVAL_MILLIS) {
            replacementLoggedMillis = now;
            log.accept(
                    "endpoint list watch replaced by a call that was answered after " + seconds(answeredAfterMillis));
        }
    }

    /**
     * The list in force is current.
     *
     * @param newVersion its version, or null if the next list has to be a snapshot
     */
    void listCurrent(Long newVersion) {
        versionReceived(newVersion);
        if (inOutage()) {
            log.accept("endpoint list available again: version " + version + " after "
                    + seconds(clock.now() - outageSinceMillis) + ", current " + age() + "; " + counters());
            outageSinceMillis = Double.NaN;
            markVersionLogged();
        }
        begun = 0;
        ends.clear();
    }

    /**
     * A list came, perhaps late: whether it is current is not known.
     *
     * @param newVersion its version, or null if the next list has to be a snapshot
     */
    void versionReceived(Long newVersion) {
        version = newVersion == null ? version : newVersion;
    }

    /** Writes the lines that are due; to be called several times a second. */
    void tick() {
        double now = clock.now();
        if (inOutage() && now - lastOutageLineMillis >= OUTAGE_LINE_INTERVAL_MILLIS) {
            lastOutageLineMillis = now;
            log.accept("endpoint list still unavailable after " + seconds(now - outageSinceMillis) + ": " + counters()
                    + "; " + listInUse());
        }
        boolean newVersion = version != null && !version.equals(loggedVersion);
        if (newVersion && now - versionLoggedMillis >= MIN_VERSION_INTERVAL_MILLIS) {
            log.accept("endpoint list version " + version + " in force, current " + age());
            markVersionLogged();
        }
    }

    private void markVersionLogged() {
        loggedVersion = version;
        versionLoggedMillis = clock.now();
    }

    private boolean inOutage() {
        return !Double.isNaN(outageSinceMillis);
    }

    private String listInUse() {
        return (version == null ? "the list known at the start" : "version " + version) + " stays in use, current "
                + age();
    }

    private String age() {
        return currency.known() ? "as of " + seconds(currency.ageMillis(clock.now())) + " ago" : "as of no known time";
    }

    /** The calls since the last list. */
    private String counters() {
        StringBuilder text = new StringBuilder("calls begun " + begun);
        ends.forEach((end, count) ->
                text.append(", ended by ").append(end.description()).append(' ').append(count));
        return text.toString();
    }

    private static String seconds(double millis) {
        return Math.round(millis / MILLIS_PER_SECOND * TENTHS) / TENTHS + " s";
    }
}
