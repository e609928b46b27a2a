package loadbalancer.testing;

import io.netty.channel.socket.nio.NioSocketChannel;

/** A socket with a small send buffer, so that a body is written in parts. */
public final class SmallSendBufferSocket extends NioSocketChannel {
    /** Creates a socket with a send buffer of 4 KiB. */
    public SmallSendBufferSocket() {
        config().setSendBufferSize(4096);
    }
}
