package loadbalancer.faultsearch;

import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** An event loop that runs on the caller's thread, by a virtual clock, with connections within this process. */
final class VirtualLoop extends ManualIoEventLoop {
    private final String network;
    private final VirtualClock clock;

    /**
     * A loop of this thread.
     *
     * @param network the name of the network; addresses of two networks are never the same
     */
    VirtualLoop(String network, VirtualClock clock) {
        super(null, Thread.currentThread(), LocalIoHandler.newFactory(), clock);
        this.network = network;
        this.clock = clock;
    }

    /** Returns the address within this process that stands for one of a socket. */
    LocalAddress address(InetSocketAddress address) {
        return new LocalAddress(network + ":" + address.getPort());
    }

    /** Runs a task after this time. */
    void after(double delayMillis, Runnable task) {
        schedule(task, VirtualClock.nanos(Math.max(0, delayMillis)), TimeUnit.NANOSECONDS);
    }

    /** Returns when the next timer is due, by the virtual clock; the largest number if there is none. */
    long nextTimerNanos() {
        long deadlineNanos = nextScheduledTaskDeadlineNanos();
        return deadlineNanos < 0 ? Long.MAX_VALUE : Math.max(deadlineNanos, clock.nanoTime());
    }

    /** Runs all that is due; returns false if nothing was. */
    boolean runDue() {
        return runNow() > 0;
    }
}
