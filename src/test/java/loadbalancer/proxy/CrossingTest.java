package loadbalancer.proxy;

import io.netty.channel.socket.nio.NioSocketChannel;

/** Keeps the old name of {@link SmallSendBufferSocket} for the tests of {@code upstream} until they use the new one. */
public final class CrossingTest {
    private CrossingTest() {}

    /** A socket that takes little at a time, so that a body is written in parts. */
    public static final class NarrowSocket extends NioSocketChannel {
        /** A socket with a small buffer. */
        public NarrowSocket() {
            config().setSendBufferSize(4096);
        }
    }
}
