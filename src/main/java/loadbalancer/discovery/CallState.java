package loadbalancer.discovery;

import loadbalancer.policy.WatchEvidence;

/** How far a call to the discovery service has come. Times are in milliseconds. */
final class CallState {
    /** An incomplete list of which nothing more has come for so long will not be completed. */
    private static final double STALL_MILLIS = 1000;

    private final double begunAtMillis;
    /** From 0 to 1. */
    private final double random;

    private double lastBytesAtMillis;
    private double sentMillis;
    private CallRole role = CallRole.WAITING;
    private boolean connected;
    private boolean responseBegun;
    /** Null while the call waits for its first list. */
    private WatchEvidence evidence;

    CallState(double begunAtMillis, double random) {
        this.begunAtMillis = begunAtMillis;
        this.random = random;
        this.lastBytesAtMillis = begunAtMillis;
        this.sentMillis = begunAtMillis;
    }

    /** The call is sent. */
    void markConnected(double nowMillis) {
        connected = true;
        sentMillis = nowMillis;
    }

    /** Bytes of a list came, whether they complete anything or not. */
    void markBytesReceived(double nowMillis) {
        responseBegun = true;
        lastBytesAtMillis = nowMillis;
    }

    CallRole role() {
        return role;
    }

    void setRole(CallRole newRole) {
        role = newRole;
    }

    /** Returns true if nothing waits for this call any more. */
    boolean unattended() {
        return role == CallRole.SUPERSEDED || role == CallRole.ABANDONED;
    }

    /** The call has been answered. */
    void markWatching(double nowMillis) {
        evidence = new WatchEvidence(nowMillis, sentMillis, random);
    }

    /** Returns true if the call has been answered, false while it waits for its first list. */
    boolean watching() {
        return evidence != null;
    }

    /** Returns what the lines of the watch prove, or null while the call waits for its first list. */
    WatchEvidence evidence() {
        return evidence;
    }

    /** Returns true if this is an open watch that has been silent, or whose lines come too late. */
    boolean silent(double nowMillis) {
        return watching() && evidence.silent(nowMillis);
    }

    /** Returns true if a part of the first list has come, and nothing more for too long. */
    boolean stalled(double nowMillis) {
        return !watching() && responseBegun && nowMillis - lastBytesAtMillis > STALL_MILLIS;
    }

    /** Returns when it was sent, or when it began as long as it is not connected: its answer is as of then or later. */
    double sentMillis() {
        return sentMillis;
    }

    double begunAtMillis() {
        return begunAtMillis;
    }

    double ageMillis(double nowMillis) {
        return nowMillis - begunAtMillis;
    }

    /** Returns why this call, which waits for its first list, is given up if nothing more comes from it. */
    CallEnd silence() {
        if (responseBegun) {
            return CallEnd.INCOMPLETE;
        }
        return connected ? CallEnd.NOT_ANSWERED : CallEnd.NOT_CONNECTED;
    }
}
