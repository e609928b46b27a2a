package loadbalancer.protocol;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Numbers as peers write and read them: plain decimals only, for Java alone would also take {@code 1d} or
 * {@code 0x1p3}.
 */
public final class Decimals {
    private static final Pattern PLAIN = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    private static final int PLACES = 3;
    private static final int SCALE = 1000;
    /** Below it, how far a product with {@link #SCALE} is off lies well within {@link #CLOSE}. */
    private static final double MAX_PLAIN = 1e9;
    /** So close to a half, the decimal digits of the number itself tell which way it is rounded. */
    private static final double CLOSE = 1e-3;

    private Decimals() {}

    /** The number, or NaN if it is malformed or over {@code max}. */
    public static double parse(String text, double max) {
        if (!PLAIN.matcher(text).matches()) {
            return Double.NaN;
        }
        double value = Double.parseDouble(text);
        return value <= max ? value : Double.NaN;
    }

    /**
     * What {@code String.format(Locale.ROOT, "%.3f", value)} makes of it. A formatter takes some 3
     * microseconds, for a header that each attempt has.
     */
    public static String formatThousandths(double value) {
        if (Double.compare(value, 0) < 0 || !(value < MAX_PLAIN)) {
            return String.format(Locale.ROOT, "%.3f", value);
        }
        double scaled = value * SCALE;
        long n = (long) scaled;
        double beyondHalf = scaled - n - 0.5;
        if (Math.abs(beyondHalf) < CLOSE) {
            n = new BigDecimal(Double.toString(value))
                    .movePointRight(PLACES)
                    .setScale(0, RoundingMode.HALF_UP)
                    .longValueExact();
        } else if (beyondHalf > 0) {
            n++;
        }
        // With a leading 1, whose place the point then takes, the zeros after the point are there.
        String fraction = Long.toString(SCALE + n % SCALE);
        return new StringBuilder()
                .append(n / SCALE)
                .append('.')
                .append(fraction, 1, fraction.length())
                .toString();
    }
}
