package loadbalancer.faultsearch;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.local.LocalChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** A connection within this process to what stands for the address of a socket. */
public final class VirtualChannel extends LocalChannel {
    /** A channel that is not connected. */
    public VirtualChannel() {}

    @Override
    public ChannelFuture connect(SocketAddress remote, ChannelPromise promise) {
        VirtualLoop loop = (VirtualLoop) eventLoop();
        return super.connect(loop.address((InetSocketAddress) remote), promise);
    }
}
