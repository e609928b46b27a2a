package loadbalancer.memory;

/** What one owner holds of a {@link MemoryBudget} for one use; it may be resized and released any number of times. */
public final class MemoryHolding {
    private final MemoryBudget budget;
    private final MemoryUse use;
    private long bytes;

    /** A holding of nothing. */
    MemoryHolding(MemoryBudget budget, MemoryUse use) {
        this.budget = budget;
        this.use = use;
    }

    /** Returns its size. */
    public long bytes() {
        return bytes;
    }

    /** Adds to its size; returns false and changes nothing if the budget has too little left. */
    public boolean tryGrow(long moreBytes) {
        if (!budget.tryTake(use, moreBytes, bytes + moreBytes)) {
            return false;
        }
        bytes += moreBytes;
        return true;
    }

    /** Sets its size; returns false and changes nothing if it would grow and the budget has too little left. */
    public boolean tryResize(long newBytes) {
        if (newBytes > bytes) {
            return tryGrow(newBytes - bytes);
        }
        resize(newBytes);
        return true;
    }

    /** Sets its size for what is held already, whether or not the budget has that much left. */
    public void resize(long newBytes) {
        budget.change(use, newBytes - bytes);
        bytes = newBytes;
    }

    /** Gives back all that it holds. */
    public void release() {
        resize(0);
    }
}
