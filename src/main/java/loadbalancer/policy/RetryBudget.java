package loadbalancer.policy;

/** Tokens for further attempts, earned by requests, so that retries do not multiply an overload. */
final class RetryBudget {
    /** Tokens that each request earns. */
    private static final double TOKENS_PER_REQUEST = 0.15;

    /** Tokens saved up at most; half of them are there at the start. */
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS / 2;

    /** Takes in a request that has arrived. */
    void earn() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /** Takes a token for a further attempt, if there is one. */
    boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
