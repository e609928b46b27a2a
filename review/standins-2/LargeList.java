import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Endpoints in the largest number that the pages name, a part of which begins to drain; the whole list is indented. */
final class LargeList {
    private static final int ENDPOINTS = 3200;
    /** Of ten endpoints, so many drain. */
    private static final int DRAINING_OF_TEN = 6;
    /** A level of the list is indented by so much. */
    private static final int SPACES = 8;

    private static final double GRACE_MILLIS = 550;

    public static void main(String[] args) {
        Kit.run(LargeList::play);
    }

    private static String play() throws Exception {
        Map<Integer, AtomicInteger> late = new ConcurrentHashMap<>();
        Map<Integer, AtomicInteger> all = new ConcurrentHashMap<>();
        double[] told = {Double.POSITIVE_INFINITY};
        Selector selector = Selector.open();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT, i);
            ports.add(((InetSocketAddress) listener.getLocalAddress()).getPort());
        }
        Kit.background("endpoints", () -> {
            try {
                while (true) {
                    selector.select();
                    for (SelectionKey key : selector.selectedKeys()) {
                        SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
                        int host = (Integer) key.attachment();
                        if (accepted != null) {
                            Kit.background("connection", () -> serve(accepted, host, told, late, all));
                        }
                    }
                    selector.selectedKeys().clear();
                }
            } catch (IOException e) {
                Kit.note("endpoints ended: " + e);
            }
        });
        Kit.Discovery discovery = new Kit.Discovery();
        Map<String, String> ready = new LinkedHashMap<>();
        Map<String, String> drains = new LinkedHashMap<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            String host = String.format("s-%08x", i * 2654435761L & 0xffffffffL);
            String site = i % 2 == 0 ? "hki-1" : "oulu-1";
            ready.put(host, Kit.entry(host, "127.0.0.1:" + ports.get(i), site, i / 4, "ready", 0));
            if (drains(i)) {
                drains.put(host, Kit.entry(host, "127.0.0.1:" + ports.get(i), site, i / 4, "draining", 0));
            }
        }
        discovery.change(ready);
        String known = discovery.wholeList();
        Kit.Sidecar sidecar = new Kit.Sidecar("n0");
        String settings =
                Kit.settings("ask", 8, 0, Kit.requestClass("stop-info", "idempotent", "all", 1000, 2000, 5000));
        Kit.Discovery next = new Kit.Discovery();
        next.change(ready);
        next.change(drains);
        int spaces = Kit.calm() ? 0 : SPACES;
        next.form = list -> spaces == 0 ? list : indented(list, spaces);
        Kit.note("the new list has " + next.form.apply(next.wholeList()).length() + " bytes");
        sidecar.writeConfig(Kit.config(sidecar, discovery.address(), known, settings));
        sidecar.start();
        sidecar.awaitReady(30_000);
        List<Kit.Result> results = new CopyOnWriteArrayList<>();
        double end = Kit.now() + 14_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(Kit.paced(sidecar.port, end, 50, "stop-info", 1.0, results));
        }
        Kit.sleep(3000);
        sidecar.writeConfig(Kit.config(sidecar, next.address(), known, settings));
        sidecar.signal("HUP");
        told[0] = Kit.now() + 4000;
        for (Thread client : clients) {
            client.join();
        }
        int broken = 0;
        int hosts = 0;
        for (Map.Entry<Integer, AtomicInteger> host : late.entrySet()) {
            if (drains(host.getKey())) {
                broken += host.getValue().get();
                hosts++;
            }
        }
        long served = results.stream().filter(result -> result.status == 200).count();
        Kit.note(served + " of " + results.size() + " served; endpoints used: " + all.keySet().size());
        if (!sidecar.alive()) {
            return "the sidecar ended by itself";
        }
        return broken == 0 ? null : broken + " requests were sent to " + hosts + " endpoints that drain";
    }

    private static boolean drains(int index) {
        return index / 4 % 10 < DRAINING_OF_TEN;
    }

    private static void serve(
            SocketChannel accepted,
            int host,
            double[] told,
            Map<Integer, AtomicInteger> late,
            Map<Integer, AtomicInteger> all) {
        try (accepted) {
            java.net.Socket socket = accepted.socket();
            socket.setTcpNoDelay(true);
            java.io.InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            for (Kit.Message m = Kit.readMessage(in); m != null; m = Kit.readMessage(in)) {
                all.computeIfAbsent(host, key -> new AtomicInteger()).incrementAndGet();
                if (m.firstByteAt > told[0] + GRACE_MILLIS) {
                    late.computeIfAbsent(host, key -> new AtomicInteger()).incrementAndGet();
                }
                Kit.sleep(20);
                String body = "from " + host;
                String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The sidecar has closed the connection.
        }
    }

    /** Returns the same JSON, with so many spaces a level. */
    static String indented(String json, int spaces) {
        StringBuilder text = new StringBuilder(json.length() * 3);
        int level = 0;
        boolean quoted = false;
        for (char c : json.toCharArray()) {
            if (c == '"') {
                quoted = !quoted;
            }
            if (!quoted && (c == '}' || c == ']')) {
                level--;
                text.append('\n').append(" ".repeat(level * spaces));
            }
            text.append(c);
            if (quoted) {
                continue;
            }
            if (c == '{' || c == '[') {
                level++;
            }
            if (c == '{' || c == '[' || c == ',') {
                text.append('\n').append(" ".repeat(level * spaces));
            } else if (c == ':') {
                text.append(' ');
            }
        }
        return text.toString();
    }
}
