package loadbalancer.policy;

/** One attempt of a request; while it is in flight it is linked into the {@link InFlightAttempts} of its endpoint. */
final class AttemptState {
    private final RequestState request;
    private final EndpointState endpoint;
    private final double sentAtMillis;
    private boolean inFlight = true;
    /** True once the endpoint has answered an attempt that was sent later. */
    private boolean overtaken;
    /** Later attempts that the endpoint answered far faster than this one has waited. */
    private int fastOvertakes;

    private AttemptState older;
    private AttemptState newer;

    AttemptState(RequestState request, EndpointState endpoint, double sentAtMillis) {
        this.request = request;
        this.endpoint = endpoint;
        this.sentAtMillis = sentAtMillis;
    }

    RequestState request() {
        return request;
    }

    EndpointState endpoint() {
        return endpoint;
    }

    double sentAtMillis() {
        return sentAtMillis;
    }

    boolean inFlight() {
        return inFlight;
    }

    boolean overtaken() {
        return overtaken;
    }

    int fastOvertakes() {
        return fastOvertakes;
    }

    void markEnded() {
        inFlight = false;
    }

    void markOvertaken() {
        overtaken = true;
    }

    /** Counts a far faster answer to a later attempt, and returns how many there were. */
    int countFastOvertake() {
        return ++fastOvertakes;
    }

    AttemptState older() {
        return older;
    }

    void setOlder(AttemptState attempt) {
        older = attempt;
    }

    AttemptState newer() {
        return newer;
    }

    void setNewer(AttemptState attempt) {
        newer = attempt;
    }
}
