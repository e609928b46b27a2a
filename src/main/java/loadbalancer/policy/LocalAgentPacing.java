package loadbalancer.policy;

/**
 * Calls to a local agent, which serves this process alone. What the agent has counts as known at once, so that without
 * a watch a call begins at each interval, which is a part of the drain grace, whatever became of the calls before.
 */
final class LocalAgentPacing implements CallPacing {
    private final double intervalMillis;
    private double lastBegunMillis = Double.NEGATIVE_INFINITY;

    LocalAgentPacing(ListCurrency currency) {
        this.intervalMillis = currency.agentCallIntervalMillis();
    }

    /** Returns no time: whoever embeds the policy begins the first call to the agent, and no policy asks for it. */
    @Override
    public double afterStart(double nowMillis) {
        return Double.NaN;
    }

    @Override
    public double afterMove(double nowMillis) {
        return nowMillis;
    }

    @Override
    public double afterSilence(double nowMillis) {
        return intervalAfterLastCall(nowMillis);
    }

    @Override
    public double afterEnd(double nowMillis) {
        return intervalAfterLastCall(nowMillis);
    }

    @Override
    public double afterRejection(double nowMillis) {
        return intervalAfterLastCall(nowMillis);
    }

    private double intervalAfterLastCall(double nowMillis) {
        return Math.max(nowMillis, lastBegunMillis + intervalMillis);
    }

    @Override
    public double besideUnanswered(double nowMillis) {
        return nowMillis + intervalMillis;
    }

    @Override
    public void callRequested(double nowMillis) {
        // No pause depends on it.
    }

    @Override
    public void callBegun(double nowMillis) {
        lastBegunMillis = nowMillis;
    }

    @Override
    public void noCallWaits() {
        // No pause depends on it.
    }

    @Override
    public void rejectedAfter(double waitMillis) {
        // The agent serves nobody else.
    }

    @Override
    public void callAnswered() {
        // Nothing is counted.
    }
}
