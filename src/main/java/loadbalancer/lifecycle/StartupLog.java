package loadbalancer.lifecycle;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Holds log lines back until the process serves, so that a failed start is explained by one line alone. */
final class StartupLog implements Consumer<String> {
    private final Consumer<String> target;
    /** The lines held back, or null once they were written. */
    private List<String> held = new ArrayList<>();

    StartupLog(Consumer<String> target) {
        this.target = target;
    }

    @Override
    public synchronized void accept(String line) {
        if (held == null) {
            target.accept(line);
        } else {
            held.add(line);
        }
    }

    /** Writes the lines held back, and from now on each line at once. */
    synchronized void release() {
        List<String> lines = held == null ? List.of() : held;
        held = null;
        lines.forEach(target);
    }
}
