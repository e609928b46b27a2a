package loadbalancer.proxy;

import java.util.Locale;

/** How many attempts were refused before their first byte, by reason. */
final class RefusalCounts {
    private static final ForwardRefusal[] REASONS = ForwardRefusal.values();

    private final long[] counts = new long[REASONS.length];

    /** Counts a refusal and returns it. */
    ForwardRefusal count(ForwardRefusal refusal) {
        counts[refusal.ordinal()]++;
        return refusal;
    }

    /** Returns the number of refusals for this reason. */
    long get(ForwardRefusal refusal) {
        return counts[refusal.ordinal()];
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (ForwardRefusal reason : REASONS) {
            if (get(reason) > 0) {
                text.append(text.length() == 0 ? "" : ", ")
                        .append(reason.name().toLowerCase(Locale.ROOT))
                        .append(' ')
                        .append(get(reason));
            }
        }
        return text.length() == 0 ? "none" : text.toString();
    }
}
