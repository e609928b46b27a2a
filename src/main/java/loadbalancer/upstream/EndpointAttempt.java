package loadbalancer.upstream;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.LoadReport;

/** One attempt to send a request to one endpoint. It completes once: by an outcome or by {@link #abort}. */
public final class EndpointAttempt {
    /** Provides the request of an attempt and receives its outcome. */
    public interface Listener {
        /**
         * The request, called for right before its first byte is written; null if it must not be sent any more.
         *
         * @param endpointUsable false if the endpoint was retired meanwhile
         */
        FullHttpRequest request(boolean endpointUsable);

        /**
         * Called once when the attempt has ended, unless it was aborted before.
         *
         * @param response the response if the outcome is a success, else null
         * @param report the load report if a valid one came, else null
         */
        void attemptEnded(AttemptOutcome outcome, UpstreamResponse response, LoadReport report);
    }

    private final Listener listener;
    private Channel channel;
    private boolean requestWritten;
    private boolean completed;

    /** An attempt for which nothing has been sent. */
    EndpointAttempt(Listener listener) {
        this.listener = listener;
    }

    /** True once it has ended or was aborted. */
    boolean completed() {
        return completed;
    }

    /** The request, or null if it must not be sent any more. */
    FullHttpRequest request(boolean endpointUsable) {
        return listener.request(endpointUsable);
    }

    /** Records the channel that the request is being written to. */
    void writingTo(Channel used) {
        channel = used;
    }

    /** Records that the last byte of the request has been written. */
    void markRequestWritten() {
        requestWritten = true;
    }

    /** Ends the attempt without a response, unless it has completed before. */
    void end(AttemptOutcome outcome) {
        end(outcome, null, null);
    }

    /** Ends the attempt and reports its outcome to the listener, unless it has completed before. */
    void end(AttemptOutcome outcome, UpstreamResponse response, LoadReport report) {
        if (!completed) {
            completed = true;
            listener.attemptEnded(outcome, response, report);
        }
    }

    /** True once the endpoint may have received the complete request, so that it may execute it. */
    public boolean requestWritten() {
        return requestWritten;
    }

    /**
     * Aborts the attempt by closing its connection; the listener is not called any more.
     *
     * @return true if the endpoint may have received the complete request, or if the attempt had completed before
     */
    public boolean abort() {
        if (completed) {
            return true;
        }
        completed = true;
        if (channel == null) {
            return false;
        }
        // Read before the close, which may complete a pending write.
        boolean written = requestWritten;
        channel.close();
        return written;
    }
}
