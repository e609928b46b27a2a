package loadbalancer.protocol;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Reads and writes the protocol's numbers: plain decimals only, where Java by itself would also accept {@code 1d} or
 * {@code 0x1p3}.
 */
public final class Decimals {
    private static final Pattern PLAIN_DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    private static final int DECIMAL_PLACES = 3;
    private static final int THOUSANDTHS_PER_UNIT = 1000;
    /** Below it, the rounding error of a number's thousandths is far less than {@link #HALF_TOLERANCE}. */
    private static final double MAX_FAST_VALUE = 1e9;
    /** Within it around a half, the decimal digits of the number itself decide which way it is rounded. */
    private static final double HALF_TOLERANCE = 1e-3;

    private Decimals() {}

    /** The number, or NaN if it is malformed or greater than {@code max}. */
    public static double parse(String text, double max) {
        if (!PLAIN_DECIMAL.matcher(text).matches()) {
            return Double.NaN;
        }
        double value = Double.parseDouble(text);
        return value <= max ? value : Double.NaN;
    }

    /**
     * Formats a number as {@code String.format(Locale.ROOT, "%.3f", value)} does, without a formatter, which takes
     * some 3 microseconds: each attempt has a header of this form.
     */
    public static String formatThousandths(double value) {
        if (Double.compare(value, 0) < 0 || !(value < MAX_FAST_VALUE)) {
            return String.format(Locale.ROOT, "%.3f", value);
        }
        long thousandths = roundToThousandths(value);
        // The leading 1 keeps the zeros behind the point; the point is put in its place.
        String fraction = Long.toString(THOUSANDTHS_PER_UNIT + thousandths % THOUSANDTHS_PER_UNIT);
        return new StringBuilder()
                .append(thousandths / THOUSANDTHS_PER_UNIT)
                .append('.')
                .append(fraction, 1, fraction.length())
                .toString();
    }

    private static long roundToThousandths(double value) {
        double scaled = value * THOUSANDTHS_PER_UNIT;
        long truncated = (long) scaled;
        double beyondHalf = scaled - truncated - 0.5;
        if (Math.abs(beyondHalf) < HALF_TOLERANCE) {
            return new BigDecimal(Double.toString(value))
                    .movePointRight(DECIMAL_PLACES)
                    .setScale(0, RoundingMode.HALF_UP)
                    .longValueExact();
        }
        return beyondHalf > 0 ? truncated + 1 : truncated;
    }
}
