package loadbalancer.policy;

/** What the calls of small and of large fleets to a shared service have in common: those beside unanswered ones. */
abstract class SharedServicePacing implements CallPacing {
    private final UnansweredCallPacing unanswered;

    /** @param sidecars how many call the same service */
    SharedServicePacing(ListCurrency currency, int sidecars) {
        this.unanswered = new UnansweredCallPacing(currency, sidecars);
    }

    @Override
    public final double besideUnanswered(double nowMillis) {
        return unanswered.nextCallMillis(nowMillis);
    }

    @Override
    public final void callBegun(double nowMillis) {
        unanswered.callBegun(nowMillis);
    }

    @Override
    public final void noCallWaits() {
        unanswered.noneWaits();
    }

    @Override
    public void rejectedAfter(double waitMillis) {
        unanswered.rejected(waitMillis);
    }

    @Override
    public void callAnswered() {
        unanswered.answered();
    }
}
