package loadbalancer.testing;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A script that leaves each request to the test to answer. */
public final class DeferredResponses implements FakeServer.Script {
    private final BlockingQueue<FakeServer.Connection> wires = new LinkedBlockingQueue<>();

    @Override
    public void on(FakeServer.Request request, FakeServer.Connection wire) {
        wires.add(wire);
    }

    /** Waits for the next request; the test answers it on what this returns. */
    public FakeServer.Connection awaitRequest() throws InterruptedException {
        FakeServer.Connection wire = wires.poll(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (wire == null) {
            throw new AssertionError("no attempt came");
        }
        return wire;
    }
}
