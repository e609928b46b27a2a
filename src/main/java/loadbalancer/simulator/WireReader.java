package loadbalancer.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads lines and steps through their fields, without making an object for each. Every method that takes a field's
 * name reads the next field, and throws a {@link WireFormatException} with that name if the field is malformed.
 */
final class WireReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    /** Characters of an integer, its sign included; so many digits fit into a {@code long}. */
    private static final int MAX_INTEGER_LENGTH = 18;

    private static final int RADIX = 10;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    /** The bytes from {@code position} to {@code limit} are read but not part of a line yet. */
    private int position;

    private int limit;
    private long lineNumber;
    private int lineStart;
    private int lineEnd;
    private int nextFieldStart;
    private int fieldStart;
    private int fieldEnd;
    private String pairsName;
    private int pairStart;
    private int pairColon;
    private int pairEnd;

    WireReader(InputStream in) {
        this.in = in;
    }

    /** Steps to the next line; returns false at the end of input. */
    boolean nextLine() throws IOException {
        int scan = position;
        while (true) {
            for (; scan < limit; scan++) {
                if (buffer[scan] == '\n') {
                    startLine(position, scan);
                    position = scan + 1;
                    return true;
                }
            }
            makeRoom();
            scan = limit;
            int count = in.read(buffer, limit, buffer.length - limit);
            if (count < 0) {
                return endOfInput();
            }
            limit += count;
        }
    }

    /** Moves the bytes of an incomplete line to the start of the buffer, which grows if they fill it. */
    private void makeRoom() {
        int remaining = limit - position;
        if (position > 0) {
            System.arraycopy(buffer, position, buffer, 0, remaining);
        } else if (remaining == buffer.length) {
            buffer = Arrays.copyOf(buffer, buffer.length * 2);
        }
        position = 0;
        limit = remaining;
    }

    private boolean endOfInput() {
        if (limit > 0) {
            lineNumber++;
            throw malformed("line", "cut short by the end of input");
        }
        return false;
    }

    private void startLine(int from, int to) {
        lineStart = from;
        lineEnd = to > from && buffer[to - 1] == '\r' ? to - 1 : to;
        nextFieldStart = lineStart;
        lineNumber++;
    }

    /** Returns true if the line is empty. */
    boolean blank() {
        return lineStart == lineEnd;
    }

    /** Steps to the next field, which must be present. */
    void field(String name) {
        if (nextFieldStart > lineEnd || nextFieldStart == lineEnd && nextFieldStart != lineStart) {
            throw malformed(name, "missing");
        }
        fieldStart = nextFieldStart;
        while (nextFieldStart < lineEnd && buffer[nextFieldStart] != ' ') {
            nextFieldStart++;
        }
        fieldEnd = nextFieldStart;
        nextFieldStart++;
        if (fieldStart == fieldEnd) {
            throw malformed(name, "empty");
        }
    }

    /** Returns true if the line has another field. */
    boolean hasMore() {
        return nextFieldStart < lineEnd;
    }

    /** Steps to the next field; returns false if it is absent, marked so or because the line ends before it. */
    private boolean optionalField(String name) {
        if (!hasMore()) {
            return false;
        }
        field(name);
        return fieldEnd - fieldStart != 1 || buffer[fieldStart] != '-';
    }

    /** Returns true if the current field is this word. */
    boolean is(String word) {
        return matches(word, fieldStart, fieldEnd);
    }

    private boolean matches(String word, int from, int to) {
        if (to - from != word.length()) {
            return false;
        }
        for (int i = 0; i < word.length(); i++) {
            if (buffer[from + i] != word.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the current field. */
    String text() {
        return new String(buffer, fieldStart, fieldEnd - fieldStart, StandardCharsets.UTF_8);
    }

    /** Reads a field as it is. */
    String word(String name) {
        field(name);
        return text();
    }

    /** Reads the rest of the line. */
    String rest() {
        int length = Math.max(0, lineEnd - nextFieldStart);
        String rest = new String(buffer, lineEnd - length, length, StandardCharsets.UTF_8);
        nextFieldStart = lineEnd;
        return rest;
    }

    /** Returns the value of the current field, or null if it is none of these words. */
    <T> T find(WireWords<T> words) {
        return words.find(buffer, fieldStart, fieldEnd);
    }

    /** Reads one of these words and returns its value. */
    <T> T choice(String name, WireWords<T> words) {
        field(name);
        T value = find(words);
        if (value == null) {
            throw unknownWord(name);
        }
        return value;
    }

    /** Reads one of these words and returns its value, or the default if the field is absent or an unknown "0". */
    <T> T optionalChoice(String name, WireWords<T> words, T defaultValue) {
        if (!optionalField(name)) {
            return defaultValue;
        }
        T value = find(words);
        if (value == null && !is("0")) {
            throw unknownWord(name);
        }
        return value == null ? defaultValue : value;
    }

    private WireFormatException unknownWord(String name) {
        return malformed(name, "'" + text() + "' is not one of those known");
    }

    long integer(String name) {
        field(name);
        boolean negative = buffer[fieldStart] == '-';
        int digitsStart = negative ? fieldStart + 1 : fieldStart;
        if (digitsStart == fieldEnd || fieldEnd - digitsStart > MAX_INTEGER_LENGTH) {
            throw malformed(name, "'" + text() + "' is not a whole number");
        }
        long value = 0;
        for (int i = digitsStart; i < fieldEnd; i++) {
            int digit = buffer[i] - '0';
            if (digit < 0 || digit > 9) {
                throw malformed(name, "'" + text() + "' is not a whole number");
            }
            value = value * RADIX + digit;
        }
        return negative ? -value : value;
    }

    int nonNegativeInt(String name) {
        long value = integer(name);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw malformed(name, "'" + value + "' is out of range");
        }
        return (int) value;
    }

    boolean flag(String name, boolean defaultValue) {
        if (!optionalField(name)) {
            return defaultValue;
        }
        if (is("1")) {
            return true;
        }
        if (is("0")) {
            return false;
        }
        throw malformed(name, "'" + text() + "' is neither 0 nor 1");
    }

    double number(String name) {
        field(name);
        return parseNumber(name, fieldStart, fieldEnd);
    }

    double number(String name, double defaultValue) {
        return optionalField(name) ? parseNumber(name, fieldStart, fieldEnd) : defaultValue;
    }

    private double parseNumber(String name, int from, int to) {
        double value = WireDecimals.parse(buffer, from, to);
        if (Double.isNaN(value)) {
            String text = new String(buffer, from, to - from, StandardCharsets.UTF_8);
            throw malformed(name, "'" + text + "' is not a number");
        }
        return value;
    }

    /** Steps to a field of name:value pairs, which {@link #nextPair} reads; returns false if it is absent. */
    boolean pairs(String name) {
        pairsName = name;
        if (!optionalField(name)) {
            return false;
        }
        pairEnd = fieldStart - 1;
        return true;
    }

    /** Steps to the next pair of the current field; returns false at its end. */
    boolean nextPair() {
        pairStart = pairEnd + 1;
        if (pairStart >= fieldEnd) {
            return false;
        }
        pairColon = indexOf(':', pairStart);
        if (pairColon == fieldEnd) {
            throw malformed(pairsName, "'" + text() + "' is not made of name:value pairs");
        }
        pairEnd = indexOf(',', pairColon);
        return true;
    }

    private int indexOf(char character, int from) {
        int i = from;
        while (i < fieldEnd && buffer[i] != character) {
            i++;
        }
        return i;
    }

    /** Returns true if the current pair has this name. */
    boolean pairNameIs(String name) {
        return matches(name, pairStart, pairColon);
    }

    /** Returns the value of the current pair. */
    double pairNumber() {
        return parseNumber(pairsName, pairColon + 1, pairEnd);
    }

    /** Returns the error that a field of the current line is malformed. */
    WireFormatException malformed(String field, String reason) {
        return malformed(field, reason, null);
    }

    /** Returns the error that a field of the current line is malformed, found by this cause. */
    WireFormatException malformed(String field, String reason, Throwable cause) {
        return new WireFormatException(lineNumber, field, reason, cause);
    }
}
