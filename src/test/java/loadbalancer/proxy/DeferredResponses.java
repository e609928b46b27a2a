package loadbalancer.proxy;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;

/** An endpoint that leaves each request to the test to answer. */
final class DeferredResponses implements FakeServer.Script {
    private final BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();

    @Override
    public void on(FakeServer.Request request, FakeServer.Wire wire) {
        wires.add(wire);
    }

    /** Waits for the next request; the test answers it on what this returns. */
    FakeServer.Wire awaitRequest() throws InterruptedException {
        FakeServer.Wire wire = wires.poll(FakeServer.PATIENCE_S, TimeUnit.SECONDS);
        if (wire == null) {
            throw new AssertionError("no attempt came");
        }
        return wire;
    }
}
