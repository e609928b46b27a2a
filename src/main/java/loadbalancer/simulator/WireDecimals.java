package loadbalancer.simulator;

import java.nio.charset.StandardCharsets;

/** Parses decimal numbers from bytes, without making an object for those of ordinary length. */
final class WireDecimals {
    /** Digits that a {@code long} collects without overflow. */
    private static final int MAX_DIGITS = 17;

    private static final double[] POWERS_OF_TEN = {1, 10, 100, 1e3, 1e4, 1e5, 1e6, 1e7, 1e8, 1e9};
    private static final int MAX_DECIMALS = POWERS_OF_TEN.length - 1;
    private static final int RADIX = 10;

    private WireDecimals() {}

    /** Parses the bytes between these indices; returns NaN if they are no finite number. */
    static double parse(byte[] bytes, int from, int to) {
        long digits = 0;
        int digitCount = 0;
        int pointAt = -1;
        boolean negative = from < to && bytes[from] == '-';
        for (int i = negative ? from + 1 : from; i < to; i++) {
            byte character = bytes[i];
            if (character == '.' && pointAt < 0) {
                pointAt = i;
            } else if (isDigit(character)) {
                digits = digits * RADIX + (character - '0');
                digitCount++;
            } else {
                return parseAsString(bytes, from, to);
            }
        }
        int decimals = pointAt < 0 ? 0 : to - pointAt - 1;
        if (!isExact(digitCount, decimals)) {
            return parseAsString(bytes, from, to);
        }
        double value = decimals > 0 ? digits / POWERS_OF_TEN[decimals] : digits;
        return negative ? -value : value;
    }

    /** True if a {@code long} and one division give the number that {@link Double#parseDouble} would. */
    private static boolean isExact(int digitCount, int decimals) {
        return digitCount > 0 && digitCount <= MAX_DIGITS && decimals <= MAX_DECIMALS;
    }

    private static boolean isDigit(byte character) {
        return character >= '0' && character <= '9';
    }

    private static double parseAsString(byte[] bytes, int from, int to) {
        try {
            double value = Double.parseDouble(new String(bytes, from, to - from, StandardCharsets.UTF_8));
            return Double.isInfinite(value) ? Double.NaN : value;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
