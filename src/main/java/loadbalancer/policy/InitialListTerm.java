package loadbalancer.policy;

/**
 * For how long the list may be used that a process was started with, before discovery has answered. What has changed
 * before the start counts as known a term later if discovery could be reached meanwhile. A process whose first call was
 * spread over a fleet can't know whether it could, and must not go on then: an endpoint of its list may be draining.
 * One that called at once has missed nothing. Times are in milliseconds on the policy's clock.
 */
final class InitialListTerm {
    /** From the start of the process to that of its policy. */
    private static final double MAX_PROCESS_START_MILLIS = 1000;
    /** Discovery that was in reach for less could not have answered. */
    private static final double MAX_FIRST_CALL_DELAY_MILLIS = 500;

    /** Infinity as long as the list may be used without an end. */
    private double endMillis = Double.POSITIVE_INFINITY;

    /**
     * The policy has started.
     *
     * @param firstCallMillis when it calls discovery first; NaN if a local agent is called at once
     */
    void started(double nowMillis, double firstCallMillis) {
        boolean callsLate = firstCallMillis - nowMillis > MAX_FIRST_CALL_DELAY_MILLIS;
        endMillis = callsLate
                ? nowMillis + NotificationBudget.TERM_MILLIS - MAX_PROCESS_START_MILLIS
                : Double.POSITIVE_INFINITY;
    }

    /** Discovery has sent a list, or said that nothing has changed. */
    void listReceived() {
        endMillis = Double.POSITIVE_INFINITY;
    }

    /** Returns true if requests may be sent by the list in use, as far as this term is concerned. */
    boolean listUsable(double nowMillis) {
        return nowMillis < endMillis;
    }
}
