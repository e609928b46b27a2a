package loadbalancer.policy;

/** A token bucket that starts empty. */
final class TokenBucket {
    private double tokens;
    private double refilledAtMillis;

    TokenBucket(double nowMillis) {
        refilledAtMillis = nowMillis;
    }

    /** Adds what this rate has earned since the last refill, up to the limit. */
    void refill(double nowMillis, double tokensPerMilli, double maxTokens) {
        tokens = Math.min(maxTokens, tokens + tokensPerMilli * (nowMillis - refilledAtMillis));
        refilledAtMillis = nowMillis;
    }

    boolean hasToken() {
        return tokens >= 1;
    }

    void take() {
        tokens -= 1;
    }

    void empty(double nowMillis) {
        tokens = 0;
        refilledAtMillis = nowMillis;
    }
}
