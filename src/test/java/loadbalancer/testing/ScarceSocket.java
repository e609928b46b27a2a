package loadbalancer.testing;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.atomic.AtomicBoolean;

/** A socket that can't be created while there are no file descriptors. */
public final class ScarceSocket extends NioSocketChannel {
    /** True while no socket can be created; static because Netty creates the channels by their class. */
    public static final AtomicBoolean EXHAUSTED = new AtomicBoolean();

    /** A socket, if there is a descriptor for it. */
    public ScarceSocket() {
        if (ScarceSocket.EXHAUSTED.get()) {
            throw new IllegalStateException("too many open files");
        }
    }
}
