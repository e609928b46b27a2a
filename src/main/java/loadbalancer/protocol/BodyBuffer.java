package loadbalancer.protocol;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import loadbalancer.memory.MemoryHolding;

/**
 * The body of one message while it is received. Its array is part of a memory budget and is let go with the body: a
 * connection that carried a large one holds nothing of it afterwards.
 */
public final class BodyBuffer {
    /** What became of bytes that were to be added. */
    public enum Result {
        /** They were added. */
        ADDED,
        /** The body would be longer than the protocol allows. */
        TOO_LONG,
        /** The budget has too little left. */
        NO_MEMORY
    }

    private static final int MIN_CAPACITY = 256;
    private static final byte[] EMPTY = new byte[0];

    private final MemoryHolding memory;
    private byte[] bytes = EMPTY;
    private int size;

    /** An empty buffer, whose size this holding has. */
    public BodyBuffer(MemoryHolding memory) {
        this.memory = memory;
    }

    /** Adds all readable bytes, or none of them. */
    public Result add(ByteBuf input) {
        int newSize = size + input.readableBytes();
        if (newSize > ProtocolLimits.MAX_BODY_BYTES) {
            return Result.TOO_LONG;
        }
        if (newSize > bytes.length && !grow(newSize)) {
            return Result.NO_MEMORY;
        }
        input.readBytes(bytes, size, newSize - size);
        size = newSize;
        return Result.ADDED;
    }

    private boolean grow(int minCapacity) {
        int doubled = Math.min(ProtocolLimits.MAX_BODY_BYTES, 2 * bytes.length);
        int capacity = Math.max(minCapacity, Math.max(MIN_CAPACITY, doubled));
        if (!memory.tryGrow(capacity - bytes.length)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /** Returns the number of bytes in it. */
    public int size() {
        return size;
    }

    /** Returns the body and lets go of it; the caller accounts for it from now on. */
    public byte[] take() {
        byte[] body = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
        clear();
        return body;
    }

    /** Returns a copy of the body so far. */
    public byte[] copy() {
        return Arrays.copyOf(bytes, size);
    }

    /** Lets go of the body. */
    public void clear() {
        bytes = EMPTY;
        size = 0;
        memory.release();
    }
}
