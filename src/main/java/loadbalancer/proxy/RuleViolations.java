package loadbalancer.proxy;

import java.util.function.Consumer;

/**
 * Violations of the operators' rules that the policy asked for and that were refused, or that were found out too late.
 * There must be none; the first of each kind is logged with the request's id, and all are counted.
 */
final class RuleViolations {
    /** What was violated. */
    enum Kind {
        /** The policy wanted more attempts than the settings allow. */
        TOO_MANY_ATTEMPTS,
        /** The policy wanted to repeat a request that may have been executed and must not run twice. */
        UNSAFE_REPEAT,
        /** The policy wanted to reject a request that may have been executed and must not run twice. */
        UNSAFE_REJECTION,
        /** An attempt was about to be sent a second time. */
        SENT_TWICE
    }

    /** What each line begins with; tests look for it. */
    static final String LINE_START = "rule violated: ";

    private final Consumer<String> log;
    private final long[] counts = new long[Kind.values().length];

    RuleViolations(Consumer<String> log) {
        this.log = log;
    }

    /** Counts a violation by a request of this id. */
    void record(Kind kind, String requestId) {
        counts[kind.ordinal()]++;
        if (counts[kind.ordinal()] == 1) {
            log.accept(LINE_START + kind + " by request " + requestId + "; further ones are only counted");
        }
    }

    /** Returns the number of all violations. */
    long total() {
        long total = 0;
        for (long count : counts) {
            total += count;
        }
        return total;
    }
}
