package loadbalancer.downstream;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.SelectBarrier;
import loadbalancer.proxy.RequestDispatcher;

/**
 * Stops the server in the order that loses no request. At first existing connections are served on, since clients
 * would take a closed one for an outage. Then idle ones are closed and every response closes its own; a request that
 * crosses such a close is sent again on a new connection, which is accepted for as long as that needs. Requests that
 * are still pending are failed while there is time for it.
 */
final class GracefulShutdown {
    private final EventLoop loop;
    private final ShutdownSchedule schedule;
    private final RequestDispatcher dispatcher;
    private final ConnectionTable connections;
    private final ClientListener listener;
    private Runnable whenFinished;
    private boolean closingIdle;
    private boolean accepting = true;
    private boolean pastDeadline;

    /** A shutdown that has not begun. */
    GracefulShutdown(
            EventLoop loop,
            ShutdownSchedule schedule,
            RequestDispatcher dispatcher,
            ConnectionTable connections,
            ClientListener listener) {
        this.loop = loop;
        this.schedule = schedule;
        this.dispatcher = dispatcher;
        this.connections = connections;
        this.listener = listener;
    }

    /** Begins the shutdown; the task runs once all is answered that can be. */
    void begin(Runnable task) {
        whenFinished = task;
        scheduleStep(schedule.closeIdleAtMillis(), () -> {
            closingIdle = true;
            connections.closeAll(ConnectionState.IDLE);
        });
        scheduleStep(schedule.stopAcceptingAtMillis(), () -> {
            accepting = false;
            listener.close();
        });
        scheduleStep(schedule.failPendingAtMillis(), () -> {
            pastDeadline = true;
            dispatcher.failPending();
            connections.closeAll(ConnectionState.NEW);
        });
    }

    // Each step runs behind a new select: what arrived in a late turn of the loop must not be taken for an idle
    // connection, or for no connection at all.
    private void scheduleStep(double delayMillis, Runnable step) {
        loop.schedule(
                () -> SelectBarrier.runAfterSelect(loop, () -> {
                    step.run();
                    finishIfDone();
                }),
                (long) delayMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Finishes the shutdown if nothing is left to wait for; to be called after each close of a connection. */
    void finishIfDone() {
        if (whenFinished != null && !accepting && !mustWait()) {
            Runnable task = whenFinished;
            whenFinished = null;
            task.run();
        }
    }

    // After the deadline only responses that are being written keep the process alive.
    private boolean mustWait() {
        return pastDeadline ? connections.hasBusy() : connections.size() > 0;
    }

    /** True from the beginning of the shutdown until it has finished. */
    boolean isInProgress() {
        return whenFinished != null;
    }

    /** True once idle connections are closed and every response closes its own. */
    boolean isClosingIdle() {
        return closingIdle;
    }

    /** True once pending requests have been failed, and none can be served before the process is killed. */
    boolean isPastDeadline() {
        return pastDeadline;
    }
}
