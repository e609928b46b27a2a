package loadbalancer.eventloop;

import java.util.concurrent.Executor;

/** A task that is run once behind the sockets of the present turn of a loop, however often it is asked for in it. */
public final class TurnEndTask {
    private final Executor loop;
    private final Runnable task;
    private boolean scheduled;

    /**
     * A task that nothing has asked for yet.
     *
     * @param loop runs a task once the sockets of the present turn have been handled
     */
    public TurnEndTask(Executor loop, Runnable task) {
        this.loop = loop;
        this.task = task;
    }

    /** Asks for the task at the end of the present turn. */
    public void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.execute(this::run);
        }
    }

    private void run() {
        scheduled = false;
        task.run();
    }
}
