package loadbalancer.upstream;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;

/** A script that leaves each request unanswered and hands its connection to the test. */
final class CapturingScript implements FakeServer.Script {
    private final BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();

    @Override
    public void on(FakeServer.Request request, FakeServer.Wire wire) {
        wires.add(wire);
    }

    /** Waits for the connection of the next request. */
    FakeServer.Wire awaitWire() throws InterruptedException {
        FakeServer.Wire wire = wires.poll(FakeServer.PATIENCE_S, TimeUnit.SECONDS);
        if (wire == null) {
            throw new AssertionError("no request came");
        }
        return wire;
    }
}
