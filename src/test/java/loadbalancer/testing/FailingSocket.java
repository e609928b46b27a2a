package loadbalancer.testing;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** A socket on which one kind of system call fails for as long as the test wants. */
public final class FailingSocket extends NioSocketChannel {
    /** The calls that can fail. */
    public enum Call {
        NONE,
        CONNECT,
        FINISH_CONNECT,
        WRITE
    }

    /** How many calls have failed so. */
    public static final AtomicInteger FAILED = new AtomicInteger();

    private static final AtomicReference<Call> FAILING = new AtomicReference<>(Call.NONE);
    private static volatile String message = "";

    /** From now on such calls fail, with this message of the system. */
    public static void fail(Call call, String how) {
        FAILED.set(0);
        message = how;
        FAILING.set(call);
    }

    private static void perform(Call call) throws IOException {
        if (FAILING.get() == call) {
            FAILED.incrementAndGet();
            throw new IOException(message);
        }
    }

    @Override
    protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
        perform(Call.CONNECT);
        return super.doConnect(remote, local);
    }

    @Override
    protected void doFinishConnect() throws Exception {
        perform(Call.FINISH_CONNECT);
        super.doFinishConnect();
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer in) throws Exception {
        perform(Call.WRITE);
        super.doWrite(in);
    }
}
