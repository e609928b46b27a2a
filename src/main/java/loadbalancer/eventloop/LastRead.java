package loadbalancer.eventloop;

import io.netty.channel.Channel;

/** What the last read of a channel's pass, which ends with {@code channelReadComplete}, tells of bytes still unread. */
public final class LastRead {
    private LastRead() {}

    /** Returns true if the last read found nothing, or the end of the stream. */
    public static boolean foundNothing(Channel channel) {
        return channel.unsafe().recvBufAllocHandle().lastBytesRead() <= 0;
    }

    /** Returns true if the last read has taken all that had come: it found less than it asked for. */
    public static boolean drained(Channel channel) {
        var reads = channel.unsafe().recvBufAllocHandle();
        return foundNothing(channel) || reads.lastBytesRead() < reads.attemptedBytesRead();
    }
}
