package loadbalancer.lifecycle;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.function.Consumer;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.memory.MemoryUse;

/**
 * Ends the process at once when an {@link Error} shows that it can't go on, or its event loop has ended: such a process
 * would still accept connections and answer nobody. It allocates nothing, since the heap may be exhausted; a JVM option
 * that ends the process by itself could neither say what the process held nor see an Error other than of the heap.
 */
final class FatalErrorHandler implements Consumer<Throwable>, Thread.UncaughtExceptionHandler {
    private static final MemoryUse[] USES = MemoryUse.values();
    private static final String LINE_START = "fatal error, the process ends: ";

    private final Runnable endProcess;
    /** What the process holds; null until it is known. */
    private MemoryBudget memory;

    private final FixedLine line = new FixedLine();
    private final FileOutputStream errors = new FileOutputStream(FileDescriptor.err);

    /**
     * A handler for one process.
     *
     * @param endProcess ends the process without running its shutdown hooks
     */
    FatalErrorHandler(Runnable endProcess) {
        this.endProcess = endProcess;
        // Once in advance: a class computes its name at the first call and keeps it.
        line.append(OutOfMemoryError.class.getName());
    }

    /** Handles every Error that ends a thread, and those that Netty only logs. */
    void install() {
        Thread.setDefaultUncaughtExceptionHandler(this);
        LoggedErrorHandler.install(this);
    }

    /** Sets what the line says of the memory that peers make the process hold. */
    synchronized void setMemory(MemoryBudget budget) {
        memory = budget;
    }

    /** Writes one line and ends the process; from then on nothing else is done. */
    @Override
    public synchronized void accept(Throwable cause) {
        line.clear();
        line.append(LINE_START);
        line.append(cause.getClass().getName());
        if (cause.getMessage() != null) {
            line.append(": ");
            line.append(cause.getMessage());
        }
        appendHeld();
        line.append("\n");
        try {
            line.writeTo(errors);
        } catch (IOException e) {
            // The end of the process says it as well.
        } finally {
            endProcess.run();
        }
    }

    private void appendHeld() {
        if (memory == null) {
            return;
        }
        line.append("; held for peers ");
        line.append(memory.heldBytes());
        line.append(" of ");
        line.append(memory.capacityBytes());
        line.append(" bytes");
        for (MemoryUse use : USES) {
            line.append(", ");
            line.append(use.label());
            line.append(" ");
            line.append(memory.heldBytes(use));
        }
    }

    @Override
    public void uncaughtException(Thread thread, Throwable cause) {
        if (cause instanceof Error) {
            accept(cause);
        } else {
            System.err.print("Exception in thread \"" + thread.getName() + "\" ");
            cause.printStackTrace();
        }
    }
}
