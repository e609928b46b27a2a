package loadbalancer.memory;

/** The budget has too little left for what was to be kept. */
public final class MemoryLimitException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** A refusal of memory for this use. */
    public MemoryLimitException(MemoryUse use) {
        super("no memory left for " + use.label());
    }
}
