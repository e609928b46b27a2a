import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Six in ten of 3,200 endpoints are replaced within 7 s, while discovery tells each change on an open watch. One
 * sidecar with usual traffic.
 */
final class FleetReplaced {
    private static final int ENDPOINTS = 3200;
    private static final int REPLACED = 1920;
    private static final double DRAINS_MILLIS = 500;
    private static final double JOINS_MILLIS = 6000;
    private static final double GONE_MILLIS = 500;
    private static final double TIMEOUT_SECONDS = 0.48;
    /** After its time an answer earns nothing; half a second later the request is lost, and 50 ms hold on sockets. */
    private static final double LOST_MILLIS = TIMEOUT_SECONDS * 1000 + 500 + 50;

    private static final double GRACE_MILLIS = 550;

    /** When each host was told to drain. */
    private static final Map<String, Double> DRAINS_TOLD = new ConcurrentHashMap<>();

    private static final List<String> LATE_SENDS = new CopyOnWriteArrayList<>();

    public static void main(String[] args) {
        Kit.run(FleetReplaced::play);
    }

    private static String play() throws Exception {
        List<Integer> ports = listen();
        Kit.Discovery discovery = new Kit.Discovery();
        Map<String, String> ready = new LinkedHashMap<>();
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            hosts.add(String.format("s-%08x", i * 2654435761L & 0xffffffffL));
            HOSTS[i] = hosts.get(i);
            ready.put(hosts.get(i), entry(hosts, ports, i, "ready", 0));
        }
        discovery.change(ready);
        Kit.Sidecar sidecar = new Kit.Sidecar("n0");
        String settings =
                Kit.settings("ask", 100, 0, Kit.requestClass("stop-info", "idempotent", "all", 1000, 2000, 5000));
        sidecar.writeConfig(Kit.config(sidecar, discovery.address(), discovery.wholeList(), settings));
        sidecar.start();
        sidecar.awaitReady(30_000);
        // The first call of a fleet of 100 is spread over some seconds.
        Kit.sleep(6000);
        List<Kit.Result> results = new CopyOnWriteArrayList<>();
        double begin = Kit.now();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(Kit.paced(sidecar.port, begin + 16_000, 80, "stop-info", TIMEOUT_SECONDS, results));
            Kit.sleep(10);
        }
        Kit.sleepUntil(begin + 3000);
        if (!Kit.calm()) {
            replace(discovery, hosts, ports);
        }
        for (Thread client : clients) {
            client.join();
        }
        return judge(sidecar, results, begin);
    }

    private static final String[] HOSTS = new String[ENDPOINTS];

    private static String entry(List<String> hosts, List<Integer> ports, int i, String health, long bornMillis) {
        String site = i % 2 == 0 ? "hki-1" : "oulu-1";
        return Kit.entry(hosts.get(i), "127.0.0.1:" + ports.get(i), site, i / 4, health, bornMillis);
    }

    /** One object for each change: old ones drain, then they are gone, then new ones join at their addresses. */
    private static void replace(Kit.Discovery discovery, List<String> hosts, List<Integer> ports) {
        Kit.note("endpoints begin to be replaced");
        double begin = Kit.now();
        for (int i = 0; i < REPLACED; i++) {
            discovery.change(Map.of(hosts.get(i), entry(hosts, ports, i, "draining", 0)));
            DRAINS_TOLD.put(hosts.get(i), Kit.now());
            Kit.sleepUntil(begin + DRAINS_MILLIS * i / REPLACED);
        }
        Kit.note(REPLACED + " endpoints were told to drain");
        double drained = begin + DRAINS_MILLIS;
        for (int i = 0; i < REPLACED; i++) {
            discovery.change(Map.of(hosts.get(i), entry(hosts, ports, i, "gone", 0)));
            Kit.sleepUntil(drained + GONE_MILLIS * i / REPLACED);
        }
        double gone = drained + GONE_MILLIS;
        for (int i = 0; i < REPLACED; i++) {
            String old = entry(hosts, ports, i, "ready", System.currentTimeMillis());
            String host = hosts.get(i) + "b";
            discovery.change(Map.of(host, old.replace("\"" + hosts.get(i) + "\"", "\"" + host + "\"")));
            Kit.sleepUntil(gone + JOINS_MILLIS * i / REPLACED);
        }
        Kit.note(REPLACED + " endpoints were replaced in " + Math.round(Kit.now() - begin) + " ms");
    }

    private static String judge(Kit.Sidecar sidecar, List<Kit.Result> results, double begin) throws Exception {
        int lost = 0;
        int served = 0;
        double longest = 0;
        for (Kit.Result result : results) {
            double took = result.endedAt - result.sentAt;
            served += result.status == 200 ? 1 : 0;
            longest = Math.max(longest, took);
            boolean isLost = result.status == 0 || took > LOST_MILLIS;
            lost += isLost ? 1 : 0;
            if (isLost || took > TIMEOUT_SECONDS * 1000) {
                Kit.note(String.format(
                        "%s sent at %.1f: %s after %.1f ms %s",
                        result.id,
                        result.sentAt - begin,
                        result.status == 0 ? "no answer" : "status " + result.status,
                        took,
                        result.failure));
            }
        }
        LATE_SENDS.forEach(Kit::note);
        Kit.note(served + " of " + results.size() + " requests served, " + lost + " lost; the longest took "
                + Math.round(longest) + " ms; " + LATE_SENDS.size() + " sent to an endpoint after its grace");
        sidecar.signal("TERM");
        Kit.sleep(4500);
        if (served < results.size() / 4) {
            throw new Kit.CannotRun("the sidecar does not serve");
        }
        if (lost > 0) {
            return lost + " requests got no answer until " + Math.round(LOST_MILLIS - TIMEOUT_SECONDS * 1000)
                    + " ms after their time; " + LATE_SENDS.size() + " were sent to an endpoint that drains";
        }
        return LATE_SENDS.isEmpty() ? null : LATE_SENDS.size() + " requests were sent to an endpoint that drains";
    }

    // ---------------------------------------------------------------- endpoints

    private static List<Integer> listen() throws IOException {
        Selector selector = Selector.open();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT, i);
            ports.add(listener.socket().getLocalPort());
        }
        Kit.background("endpoints", () -> accept(selector));
        return ports;
    }

    private static void accept(Selector selector) {
        try {
            while (true) {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
                    int index = (Integer) key.attachment();
                    if (accepted != null) {
                        Kit.background("connection", () -> serve(accepted, index));
                    }
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException e) {
            Kit.note("the endpoints ended: " + e);
        }
    }

    private static void serve(SocketChannel accepted, int index) {
        double acceptedAt = Kit.now();
        try (accepted) {
            Socket socket = accepted.socket();
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Kit.Message message = Kit.readMessage(in); message != null; message = Kit.readMessage(in)) {
                judgeSend(message, index, acceptedAt);
                Kit.sleep(20);
                String body = "from " + index + " for " + message.header("Request-Id");
                String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The sidecar has closed the connection.
        }
    }

    // Behind the first new entry at its address, a request may be meant for the new endpoint.
    private static void judgeSend(Kit.Message message, int index, double acceptedAt) {
        Double told = DRAINS_TOLD.get(HOSTS[index]);
        boolean late = told != null && message.firstByteAt > told + GRACE_MILLIS && acceptedAt < told + GRACE_MILLIS;
        if (late) {
            LATE_SENDS.add(String.format(
                    "%s got %s %.1f ms after it was told to drain",
                    HOSTS[index], message.header("Request-Id"), message.firstByteAt - told));
        }
    }
}
