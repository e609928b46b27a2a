package loadbalancer.upstream;

/**
 * Searches a body for the head of another response. Where a body has no stated length, a second response behind it
 * would pass for a part of it.
 */
final class ResponseHeadScanner {
    private static final String PROTOCOL = "HTTP/1.";
    /** Offset of the status code in a status line: behind the protocol, a digit and a space. */
    private static final int STATUS_CODE_OFFSET = PROTOCOL.length() + 2;

    private static final int STATUS_CODE_DIGITS = 3;
    private static final int MIN_STATUS_LINE_LENGTH = STATUS_CODE_OFFSET + STATUS_CODE_DIGITS;
    /** Header lines of a head that are examined; a bound on the work, not of the protocol. */
    private static final int MAX_HEADER_LINES = 32;

    private ResponseHeadScanner() {}

    /** True if this text, of one character a byte, contains a complete response head. */
    static boolean containsHead(String text) {
        for (int at = text.indexOf(PROTOCOL); at >= 0; at = text.indexOf(PROTOCOL, at + 1)) {
            if (isHead(text, at)) {
                return true;
            }
        }
        return false;
    }

    // A status line, header lines and an empty line: prose may contain the first of these alone.
    private static boolean isHead(String text, int from) {
        int end = text.indexOf('\n', from);
        if (end < from + MIN_STATUS_LINE_LENGTH || !isStatusLine(text, from)) {
            return false;
        }
        for (int lineNumber = 0; lineNumber <= MAX_HEADER_LINES; lineNumber++) {
            int start = end + 1;
            end = text.indexOf('\n', start);
            if (end < 0) {
                return false;
            }
            String line = text.substring(start, end).stripTrailing();
            if (line.isEmpty()) {
                return true;
            }
            if (line.indexOf(':') <= 0) {
                return false;
            }
        }
        return false;
    }

    private static boolean isStatusLine(String text, int from) {
        int code = from + STATUS_CODE_OFFSET;
        return Character.isDigit(text.charAt(code - 2))
                && text.charAt(code - 1) == ' '
                && Character.isDigit(text.charAt(code))
                && Character.isDigit(text.charAt(code + 1))
                && Character.isDigit(text.charAt(code + 2));
    }
}
