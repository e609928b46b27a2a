package loadbalancer.lifecycle;

import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Reports each {@link Error} that a library logs and then goes on from. Netty does so with what a task, the listener of
 * a future or a handler throws that no other handler takes.
 */
final class LoggedErrorHandler extends Handler {
    private final Consumer<Throwable> onError;

    private LoggedErrorHandler(Consumer<Throwable> onError) {
        this.onError = onError;
    }

    /** Reports all errors that are logged in this JVM from now on. */
    static void install(Consumer<Throwable> onError) {
        Logger.getLogger("").addHandler(new LoggedErrorHandler(onError));
    }

    @Override
    public void publish(LogRecord record) {
        if (record.getThrown() instanceof Error error) {
            onError.accept(error);
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
