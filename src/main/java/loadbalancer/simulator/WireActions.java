package loadbalancer.simulator;

import java.util.Base64;
import loadbalancer.policy.PolicyActions;
import loadbalancer.policy.PolicyRequest;

/** Writes the actions of one instance's policy as lines of a reply, and updates its open requests. */
final class WireActions implements PolicyActions {
    private final int sidecar;
    private final OpenRequests openRequests;
    private final WireWriter out;

    WireActions(int sidecar, OpenRequests openRequests, WireWriter out) {
        this.sidecar = sidecar;
        this.openRequests = openRequests;
        this.out = out;
    }

    private WireWriter begin(String action) {
        return out.word(action).space().integer(sidecar);
    }

    @Override
    public void forward(PolicyRequest request, String endpoint, double timeoutMillis) {
        OpenRequests.OpenRequest open = openRequests.get(request.id());
        if (open != null) {
            open.attemptForwarded();
        }
        begin("forward")
                .space()
                .integer(request.id())
                .space()
                .word(endpoint)
                .space()
                .millis(timeoutMillis)
                .endLine();
    }

    @Override
    public void cancelAttempt(PolicyRequest request, int attempt) {
        begin("undo_send")
                .space()
                .integer(request.id())
                .space()
                .integer(attempt)
                .endLine();
    }

    @Override
    public void reject(PolicyRequest request, double retryAfterMillis) {
        begin("deny")
                .space()
                .integer(request.id())
                .space()
                .millis(retryAfterMillis)
                .endLine();
        complete(request);
    }

    @Override
    public void fail(PolicyRequest request) {
        begin("drop_request").space().integer(request.id()).endLine();
        complete(request);
    }

    private void complete(PolicyRequest request) {
        OpenRequests.OpenRequest open = openRequests.get(request.id());
        if (open != null) {
            open.complete();
            openRequests.removeIfSettled(open);
        }
    }

    @Override
    public void probe(String endpoint) {
        begin("sound_out").space().word(endpoint).endLine();
    }

    @Override
    public void watchEndpoints() {
        begin("stream_changes").word(" 1").endLine();
    }

    @Override
    public void broadcast(byte[] message) {
        begin("notify")
                .word(" * ")
                .word(Base64.getEncoder().encodeToString(message))
                .endLine();
    }

    @Override
    public void scheduleWake(double atMillis) {
        begin("wake_me").word(" period ").millis(atMillis).endLine();
    }

    @Override
    public void log(String line) {
        begin("log").space().word(line.replace('\n', ' ')).endLine();
    }

    /** Reports that the policy threw this; the simulation ends with it. */
    void reportFailure(Throwable failure) {
        String text = failure.getClass().getSimpleName() + ": " + failure.getMessage();
        StackTraceElement[] stack = failure.getStackTrace();
        if (stack.length > 0) {
            text += " at " + stack[0];
        }
        begin("give_in").space().word(text.replace('\n', ' ')).endLine();
    }
}
