import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Many guide servers, each on a port of its own, whose connections one thread accepts. */
final class GuideFleet {
    private final List<Guide> guides = new ArrayList<>();
    private final Selector selector = Selector.open();

    GuideFleet(Rig rig, int count, Guide.Handler handler) throws IOException {
        for (int i = 0; i < count; i++) {
            ServerSocketChannel channel = ServerSocketChannel.open();
            channel.bind(new InetSocketAddress(InetAddress.getByName(Rig.STANDINS), 0), 64);
            channel.configureBlocking(false);
            Guide guide = new Guide(rig, String.format("s-%08x", i * 0x9E3779B1), handler, channel.socket());
            channel.register(selector, SelectionKey.OP_ACCEPT, guide);
            guides.add(guide);
        }
        Thread acceptor = new Thread(this::accept, "fleet");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    List<Guide> guides() {
        return guides;
    }

    private void accept() {
        try {
            while (true) {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
                    if (accepted != null) {
                        ((Guide) key.attachment()).serveConnection(accepted.socket());
                    }
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
