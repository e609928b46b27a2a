package loadbalancer.protocol;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import java.util.List;

/**
 * Measures how many bytes of one message are neither its head nor its content: sizes and extensions of chunks, line
 * ends, trailers, and what precedes the head. A bound on the content alone lets a sender keep a reader busy for ever.
 */
public final class FramingMeter {
    /** The longest start line and the largest head that decoders accept, and blank lines before them. */
    private static final long MAX_HEAD_BYTES = 16 * 1024L;
    /** Framing of a small message: its trailers, or some chunks with extensions. */
    private static final long MIN_FRAMING_BYTES = 4096;
    /** Beyond it, framing per byte of content: chunks of three bytes and more stay below. */
    private static final long MAX_FRAMING_PER_CONTENT_BYTE = 2;

    private boolean headEnded;
    private long headBytes;
    private long framingBytes;
    private long contentBytes;

    /** A meter for the first message of a connection. */
    public FramingMeter() {}

    /**
     * Measures a step of a decoder.
     *
     * @param consumedBytes by how much the step moved on
     * @param decoded what the step decoded, from this index on
     */
    public void decoded(int consumedBytes, List<Object> decoded, int fromIndex) {
        boolean inHead = !headEnded;
        int stepContentBytes = 0;
        for (int i = fromIndex; i < decoded.size(); i++) {
            Object part = decoded.get(i);
            headEnded |= part instanceof HttpMessage;
            if (part instanceof HttpContent content && !(part instanceof HttpMessage)) {
                stepContentBytes += content.content().readableBytes();
            }
        }
        contentBytes += stepContentBytes;
        if (inHead) {
            headBytes += consumedBytes - stepContentBytes;
        } else {
            framingBytes += consumedBytes - stepContentBytes;
        }
    }

    /** Returns true if the message has more framing than its content accounts for. */
    public boolean exceeded() {
        return headBytes > MAX_HEAD_BYTES
                || framingBytes > MIN_FRAMING_BYTES + MAX_FRAMING_PER_CONTENT_BYTE * contentBytes;
    }

    /** Prepares for the next message of the connection. */
    public void reset() {
        headEnded = false;
        headBytes = 0;
        framingBytes = 0;
        contentBytes = 0;
    }
}
