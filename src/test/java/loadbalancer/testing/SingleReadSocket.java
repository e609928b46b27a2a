package loadbalancer.testing;

import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.SocketAddress;

/** A socket that reads once in a turn of its loop, so many bytes at most, and leaves the rest for the next turn. */
public final class SingleReadSocket extends NioSocketChannel {
    /** The length of a read, in bytes. */
    public static final int READ_BYTES = 64;

    /** A socket that is not connected. */
    public SingleReadSocket() {
        // Set up by the one who connects it.
    }

    @Override
    protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
        config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1));
        return super.doConnect(remote, local);
    }
}
