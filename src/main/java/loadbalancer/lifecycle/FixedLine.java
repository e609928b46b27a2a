package loadbalancer.lifecycle;

import java.io.IOException;
import java.io.OutputStream;

/** A line of ASCII text of bounded length that is composed without allocating; what is too long for it is cut off. */
final class FixedLine {
    private static final int MAX_BYTES = 1024;
    private static final int MAX_DIGITS = 19;
    private static final int DECIMAL = 10;

    private final byte[] bytes = new byte[MAX_BYTES];
    private final byte[] digits = new byte[MAX_DIGITS];
    private int length;

    /** Makes it empty. */
    void clear() {
        length = 0;
    }

    /** Appends a text; characters beyond ASCII are replaced. */
    void append(String text) {
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            append(character < 0x80 ? (byte) character : (byte) '?');
        }
    }

    /** Appends a number that is not negative. */
    void append(long number) {
        int count = 0;
        long rest = number;
        do {
            digits[count++] = (byte) ('0' + rest % DECIMAL);
            rest /= DECIMAL;
        } while (rest > 0);
        while (count > 0) {
            append(digits[--count]);
        }
    }

    // The last byte is kept for the end of the line.
    private void append(byte value) {
        if (length < MAX_BYTES - 1 || value == '\n') {
            bytes[Math.min(length, MAX_BYTES - 1)] = value;
            length = Math.min(length + 1, MAX_BYTES);
        }
    }

    /** Writes what it holds. */
    void writeTo(OutputStream output) throws IOException {
        output.write(bytes, 0, length);
    }
}
