package loadbalancer.upstream;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Examines what an endpoint sends behind a complete response, and determines whether the response can be relied on.
 *
 * <p>Surplus bytes may be the rest of a body whose stated length is too short, or whose last chunk came too early. Only
 * a duplicate of the response proves that the response ended where its framing says: the surplus then begins with the
 * same head.
 */
final class SurplusBytes {
    private static final byte FIRST_HEAD_BYTE = 'H';

    private HttpResponse completed;
    private boolean received;
    private boolean examined;
    private boolean duplicate;

    /** Discards everything; what comes next belongs to another response. */
    void reset() {
        completed = null;
        received = false;
        examined = false;
        duplicate = false;
    }

    /** The response with this head is complete: whatever comes from now on is surplus. */
    void expectAfter(HttpResponse head) {
        completed = head;
    }

    /**
     * Sees undecoded bytes, of which the first is given. The decoder skips blank lines ahead of a head, so that only
     * the bytes themselves tell whether a head follows at once.
     */
    void bytesReceived(byte first) {
        if (completed != null && !received) {
            received = true;
            examined = first != FIRST_HEAD_BYTE;
        }
    }

    /** Sees what the decoder has made of surplus bytes. Only the first part counts. */
    void decoded(HttpObject part) {
        if (!examined) {
            examined = true;
            duplicate = part instanceof HttpResponse head && isSameHead(head, completed);
        }
    }

    private static boolean isSameHead(HttpResponse head, HttpResponse other) {
        return head.decoderResult().isSuccess()
                && head.protocolVersion().equals(other.protocolVersion())
                && head.status().equals(other.status())
                && head.headers().equals(other.headers());
    }

    /** True if anything came behind the complete response, so that its connection can't be used again. */
    boolean received() {
        return received;
    }

    /** True if what came may be the rest of the body: a response followed by it must not be passed on. */
    boolean mayBelongToBody() {
        return received && !duplicate;
    }
}
