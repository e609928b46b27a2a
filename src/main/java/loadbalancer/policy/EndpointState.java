package loadbalancer.policy;

/**
 * One endpoint as this sidecar knows it: its entry of the endpoint list, and an object for each matter on which
 * decisions about it depend.
 */
final class EndpointState {
    private final long rank;
    private final InFlightAttempts inFlight = new InFlightAttempts();
    private final DropController drop = new DropController();
    private final OutlierDetector outlier = new OutlierDetector();
    private final EndpointTraffic traffic = new EndpointTraffic();
    private final ReportedLoad reportedLoad = new ReportedLoad();
    private final ClassErrorRates errorRates;
    private final TokenBucket slowStartTokens;
    private Endpoint entry;
    private double processStartMillis;
    private boolean ready;
    private boolean listed;
    private double relativeSize = 1;
    private double leftSubsetAtMillis;

    /**
     * An endpoint that has just appeared on the list.
     *
     * @param rank its place in this sidecar's order of preference, lowest first
     */
    EndpointState(Endpoint entry, long rank, int classCount, double nowMillis) {
        this.rank = rank;
        this.errorRates = new ClassErrorRates(classCount);
        this.slowStartTokens = new TokenBucket(nowMillis);
        this.processStartMillis = entry.startedAtMillis();
        updateEntry(entry);
    }

    /** Takes in the endpoint's current entry; one that goes back in its process start is of an older list. */
    void update(Endpoint current, double nowMillis) {
        if (current.startedAtMillis() > processStartMillis) {
            restart(current.startedAtMillis(), nowMillis);
        }
        updateEntry(current);
    }

    /** A new process starts without the past of the one before; slow start protects it. */
    private void restart(double startMillis, double nowMillis) {
        processStartMillis = startMillis;
        drop.reset();
        outlier.markResponsive();
        errorRates.clear();
        reportedLoad.resetCapacity();
        slowStartTokens.empty(nowMillis);
    }

    private void updateEntry(Endpoint current) {
        entry = current;
        ready = current.status() == EndpointStatus.READY;
        listed = current.status() != EndpointStatus.REMOVED;
    }

    /** Before a complete list: what it does not name is off the list. */
    void markUnlisted() {
        ready = false;
        listed = false;
    }

    Endpoint entry() {
        return entry;
    }

    String id() {
        return entry.id();
    }

    long rank() {
        return rank;
    }

    /** True if the list says that the endpoint takes requests. */
    boolean ready() {
        return ready;
    }

    /** True if nothing needs this state any longer: the endpoint is off the list and has no attempt in flight. */
    boolean forgettable() {
        return !listed && inFlight.isEmpty();
    }

    /** Start of the endpoint's process in milliseconds; 0, or less than the clock's start, means long ago. */
    double processStartMillis() {
        return processStartMillis;
    }

    /** Its size compared with the largest endpoint of the subset, from 0 to 1. */
    double relativeSize() {
        return relativeSize;
    }

    void setRelativeSize(double size) {
        relativeSize = size;
    }

    double leftSubsetAtMillis() {
        return leftSubsetAtMillis;
    }

    void leftSubsetAt(double nowMillis) {
        leftSubsetAtMillis = nowMillis;
    }

    /** Registers an attempt that is about to be forwarded. */
    void attemptStarted(AttemptState attempt) {
        inFlight.add(attempt);
        reportedLoad.attemptStarted();
        traffic.recordForward();
    }

    /** Removes an attempt that has ended. */
    void attemptEnded(AttemptState attempt) {
        inFlight.remove(attempt);
        reportedLoad.attemptEnded();
    }

    /**
     * Attempts in flight: as the endpoint reported within the given time, with what has changed since, and otherwise
     * this sidecar's own.
     */
    double inFlightEstimate(double nowMillis, double maxReportAgeMillis) {
        return reportedLoad.probeAgeMillis(nowMillis) < maxReportAgeMillis
                ? Math.max(inFlight.count(), reportedLoad.inFlight())
                : inFlight.activeCount();
    }

    InFlightAttempts inFlight() {
        return inFlight;
    }

    DropController drop() {
        return drop;
    }

    OutlierDetector outlier() {
        return outlier;
    }

    EndpointTraffic traffic() {
        return traffic;
    }

    ReportedLoad reportedLoad() {
        return reportedLoad;
    }

    ClassErrorRates errorRates() {
        return errorRates;
    }

    TokenBucket slowStartTokens() {
        return slowStartTokens;
    }
}
