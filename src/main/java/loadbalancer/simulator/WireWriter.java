package loadbalancer.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects a reply as bytes and writes it at once. */
final class WireWriter {
    private static final int INITIAL_BUFFER_BYTES = 1 << 14;
    private static final int MAX_ASCII = 127;
    /** Bytes in UTF-8 that one {@code char} takes at most. */
    private static final int MAX_BYTES_PER_CHAR = 3;
    /** A sign and the digits of a {@code long}. */
    private static final int MAX_INTEGER_LENGTH = 20;

    private static final int RADIX = 10;
    private static final int MICROS_PER_MILLI = 1000;
    private static final int DECIMALS_LENGTH = 4;

    private final OutputStream out;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int size;

    WireWriter(OutputStream out) {
        this.out = out;
    }

    private void ensureCapacity(int additionalBytes) {
        if (size + additionalBytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, size + additionalBytes));
        }
    }

    private void append(int character) {
        buffer[size++] = (byte) character;
    }

    /** Appends text as UTF-8. */
    WireWriter word(String text) {
        int length = text.length();
        ensureCapacity(length * MAX_BYTES_PER_CHAR + 1);
        for (int i = 0; i < length; i++) {
            char character = text.charAt(i);
            if (character > MAX_ASCII) {
                appendEncoded(text.substring(i));
                return this;
            }
            append(character);
        }
        return this;
    }

    private void appendEncoded(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ensureCapacity(bytes.length);
        System.arraycopy(bytes, 0, buffer, size, bytes.length);
        size += bytes.length;
    }

    WireWriter space() {
        ensureCapacity(1);
        append(' ');
        return this;
    }

    WireWriter endLine() {
        ensureCapacity(1);
        append('\n');
        return this;
    }

    WireWriter integer(long value) {
        ensureCapacity(MAX_INTEGER_LENGTH);
        if (value < 0) {
            append('-');
        }
        int digitsStart = size;
        long remaining = Math.abs(value);
        do {
            append((int) ('0' + remaining % RADIX));
            remaining /= RADIX;
        } while (remaining > 0);
        reverse(digitsStart, size - 1);
        return this;
    }

    private void reverse(int first, int last) {
        for (int i = first, j = last; i < j; i++, j--) {
            byte swapped = buffer[i];
            buffer[i] = buffer[j];
            buffer[j] = swapped;
        }
    }

    /** Appends milliseconds with three decimals, the simulator's own resolution. */
    WireWriter millis(double value) {
        long micros = Math.round(value * MICROS_PER_MILLI);
        if (micros < 0) {
            ensureCapacity(1);
            append('-');
            micros = -micros;
        }
        integer(micros / MICROS_PER_MILLI);
        int fraction = (int) (micros % MICROS_PER_MILLI);
        ensureCapacity(DECIMALS_LENGTH);
        append('.');
        append('0' + fraction / 100);
        append('0' + fraction / 10 % 10);
        append('0' + fraction % 10);
        return this;
    }

    /** Writes what was collected to the stream. */
    void flush() throws IOException {
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
    }
}
