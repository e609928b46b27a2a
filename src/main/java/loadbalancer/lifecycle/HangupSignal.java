package loadbalancer.lifecycle;

import java.lang.reflect.Proxy;

/**
 * The handling of SIGHUP, which by default ends the JVM. Java has no public interface to signals; the one in the module
 * jdk.unsupported is called by reflection, since javac warns of any other use.
 */
final class HangupSignal {
    private static final String SIGNAL_NAME = "HUP";

    private HangupSignal() {}

    /**
     * Runs a task, in a thread of the JVM's, whenever SIGHUP arrives.
     *
     * @throws ReflectiveOperationException if this JVM lacks the interface or the signal can't be handled
     */
    static void handle(Runnable task) throws ReflectiveOperationException {
        Class<?> signal = signalClass();
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object onSignal = Proxy.newProxyInstance(
                HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                    task.run();
                    return null;
                });
        signal.getMethod("handle", signal, handler).invoke(null, newSignal(signal), onSignal);
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
