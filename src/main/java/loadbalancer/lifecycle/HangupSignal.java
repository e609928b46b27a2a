package loadbalancer.lifecycle;

import java.lang.reflect.Proxy;

/**
 * The handling of SIGHUP, which by default ends the JVM. A signal that arrives before there is anything to do about
 * it is handled once there is. Java has no public interface to signals; the one in the module jdk.unsupported is
 * called by reflection, since javac warns of any other use.
 */
final class HangupSignal {
    private static final String SIGNAL_NAME = "HUP";

    private final boolean ignored;
    /** What a signal causes, or null. */
    private Runnable task;

    private boolean pending;

    private HangupSignal() throws ReflectiveOperationException {
        Class<?> signal = signalClass();
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object onSignal = Proxy.newProxyInstance(
                HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                    received();
                    return null;
                });
        Object previous = signal.getMethod("handle", signal, handler).invoke(null, newSignal(signal), onSignal);
        this.ignored = handler.getField("SIG_IGN").get(null).equals(previous);
    }

    /**
     * Handles SIGHUP from now on.
     *
     * @throws ReflectiveOperationException if this JVM lacks the interface or the signal can't be handled
     */
    static HangupSignal handle() throws ReflectiveOperationException {
        return new HangupSignal();
    }

    /** Returns true if the process was started with SIGHUP ignored, as by nohup: the JVM then leaves it ignored. */
    boolean ignored() {
        return ignored;
    }

    /** Runs a task, in a thread of the JVM's, whenever SIGHUP arrives, and now if it has arrived before. */
    synchronized void onSignal(Runnable newTask) {
        task = newTask;
        if (pending) {
            pending = false;
            task.run();
        }
    }

    private synchronized void received() {
        if (task == null) {
            pending = true;
        } else {
            task.run();
        }
    }

    /**
     * Sends SIGHUP to this process.
     *
     * @throws ReflectiveOperationException if this JVM lacks the interface
     */
    static void raise() throws ReflectiveOperationException {
        Class<?> signal = signalClass();
        signal.getMethod("raise", signal).invoke(null, newSignal(signal));
    }

    private static Class<?> signalClass() throws ClassNotFoundException {
        return Class.forName("sun.misc.Signal");
    }

    private static Object newSignal(Class<?> signal) throws ReflectiveOperationException {
        return signal.getConstructor(String.class).newInstance(SIGNAL_NAME);
    }
}
