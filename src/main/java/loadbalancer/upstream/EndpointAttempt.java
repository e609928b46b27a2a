package loadbalancer.upstream;

import io.netty.handler.codec.http.FullHttpRequest;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.LoadReport;

/** One request under way to one endpoint. */
public final class EndpointAttempt {
    /** Is told once how an attempt ended, unless it was given up first. */
    public interface Listener {
        /** What to send, asked for right before the first byte; null if by now nothing may be sent. */
        FullHttpRequest request();

        /** The outcome, with the answer if it was served and the load report if one came. */
        void attemptEnded(AttemptOutcome outcome, UpstreamResponse answer, LoadReport report);
    }

    private final Listener listener;
    private EndpointConnection connection;
    private boolean over;

    /** An attempt that nothing was sent for. */
    EndpointAttempt(Listener listener) {
        this.listener = listener;
    }

    /** True once it has ended or was given up. */
    boolean over() {
        return over;
    }

    /** What to send, or null if by now nothing may be sent. */
    FullHttpRequest request() {
        return listener.request();
    }

    /** Notes the connection that its request is being written to. */
    void startedOn(EndpointConnection used) {
        connection = used;
    }

    /** Tells its listener how it ended, unless it was over before. */
    void end(AttemptOutcome outcome, UpstreamResponse answer, LoadReport report) {
        if (!over) {
            over = true;
            listener.attemptEnded(outcome, answer, report);
        }
    }

    /** True once the endpoint may have had the whole request, so that it may run. */
    public boolean requestWritten() {
        return connection != null && connection.requestWritten();
    }

    /**
     * Gives up the attempt by closing its connection; its listener hears no more. True if the endpoint
     * may have had the whole request, so that it may run.
     */
    public boolean abort() {
        if (over) {
            return true;
        }
        over = true;
        if (connection == null) {
            return false;
        }
        boolean written = requestWritten();
        connection.close();
        return written;
    }
}
