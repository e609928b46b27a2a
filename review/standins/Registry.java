import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/** Discovery: a list with a version, whole or by its changes, and watches with an empty line every 2 s. */
final class Registry implements AutoCloseable {
    /** What becomes of a call: true if it is to be served as usual. */
    interface Gate {
        boolean pass(Socket socket, String requestLine, int number) throws Exception;
    }

    private static final class Host {
        String entry;
        String health;
        long seq;

        String json() {
            return entry.replace("HEALTH", health);
        }
    }

    private final class Watch {
        final Socket socket;
        long told;
        boolean silent;
        /** An empty line comes every 2 s as long as nothing changes. */
        double lineDue = rig.seconds() + LINE_SECONDS;

        Watch(Socket socket, long told) {
            this.socket = socket;
            this.told = told;
        }
    }

    private static final double LINE_SECONDS = 2;

    private final Rig rig;
    private final ServerSocket server;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    /** When each guide server that drains or is gone was first written to a sidecar as such. */
    private final Map<String, Double> toldAt = new TreeMap<>();
    /** A watch after a version below this one gets the whole list first. */
    volatile long wholeBelow;
    volatile UnaryOperator<String> form = text -> text;
    volatile Gate gate = (socket, line, number) -> true;
    private long seq = 40;
    private int calls;

    Registry(Rig rig) throws IOException {
        this.rig = rig;
        this.server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(Rig.STANDINS), 0), 256);
        Thread acceptor = new Thread(this::accept, "registry");
        acceptor.setDaemon(true);
        acceptor.start();
        Thread pulse = new Thread(this::pulse, "registry-pulse");
        pulse.setDaemon(true);
        pulse.start();
    }

    int port() {
        return server.getLocalPort();
    }

    /** Adds or replaces a guide server, or changes its health. */
    synchronized void put(String host, int port, String zone, String kind, int block, String health, long born) {
        Host known = new Host();
        known.entry = "{\"host\":\"" + host + "\",\"dial\":\"" + Rig.STANDINS + ":" + port + "\",\"site\":\"" + zone
                + "\",\"class\":\"" + kind + "\",\"block\":" + block
                + ",\"health\":\"HEALTH\",\"share\":1.0,\"born_ms\":" + born + "}";
        known.health = health;
        known.seq = ++seq;
        hosts.put(host, known);
        tell();
    }

    synchronized void health(String host, String health) {
        Host known = hosts.get(host);
        known.health = health;
        known.seq = ++seq;
        rig.record("discovery: " + host + " is " + health + " as of version " + seq);
        tell();
    }

    /** The whole list as it stands. */
    synchronized String whole() {
        StringBuilder text = new StringBuilder();
        for (Host host : hosts.values()) {
            if (!host.health.equals("gone")) {
                text.append(text.length() == 0 ? "" : ",").append(host.json());
            }
        }
        return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + text + "]}";
    }

    private synchronized String changes(long after) {
        StringBuilder text = new StringBuilder();
        for (Host host : hosts.values()) {
            if (host.seq > after) {
                text.append(text.length() == 0 ? "" : ",").append(host.json());
            }
        }
        return "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + text + "]}";
    }

    /** Returns when a sidecar was first told that this guide server drains or is gone; NaN if it never was. */
    synchronized double toldOf(String host) {
        return toldAt.getOrDefault(host, Double.NaN);
    }

    private void markTold(long after) {
        double now = rig.seconds();
        hosts.forEach((host, entry) -> {
            if (entry.seq > after && !entry.health.equals("ready") && !toldAt.containsKey(host)) {
                toldAt.put(host, now);
                rig.record("discovery: a sidecar is told that " + host + " is " + entry.health);
            }
        });
    }

    /** Makes all open watches silent: they stay open and nothing comes on them any more. */
    synchronized void silenceWatches() {
        for (Watch watch : watches) {
            watch.silent = true;
        }
        rig.record("discovery: " + watches.size() + " open watches fall silent");
    }

    synchronized void resetWatches() throws IOException {
        rig.record("discovery: " + watches.size() + " open watches are reset");
        for (Watch watch : watches) {
            watch.socket.setSoLinger(true, 0);
            watch.socket.close();
        }
        watches.clear();
    }

    synchronized int openWatches() {
        return watches.size();
    }

    private synchronized void tell() {
        for (Watch watch : List.copyOf(watches)) {
            if (!watch.silent && watch.told < seq) {
                if (send(watch, form.apply(changes(watch.told)) + "\n")) {
                    markTold(watch.told);
                }
                watch.told = seq;
            }
        }
    }

    /** Returns right after the next empty line is written. */
    synchronized void awaitPulse() throws InterruptedException {
        wait();
    }

    private void pulse() {
        while (!server.isClosed()) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                for (Watch watch : List.copyOf(watches)) {
                    if (!watch.silent && rig.seconds() >= watch.lineDue) {
                        notifyAll();
                        send(watch, "\n");
                    }
                }
            }
        }
    }

    private synchronized boolean send(Watch watch, String line) {
        try {
            byte[] bytes = line.getBytes(StandardCharsets.ISO_8859_1);
            watch.lineDue = rig.seconds() + LINE_SECONDS;
            OutputStream output = watch.socket.getOutputStream();
            byte[] size = (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
            byte[] chunk = new byte[size.length + bytes.length + 2];
            System.arraycopy(size, 0, chunk, 0, size.length);
            System.arraycopy(bytes, 0, chunk, size.length, bytes.length);
            chunk[chunk.length - 2] = '\r';
            chunk[chunk.length - 1] = '\n';
            output.write(chunk);
            output.flush();
            return true;
        } catch (IOException e) {
            watches.remove(watch);
            return false;
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Thread thread = new Thread(() -> serve(socket), "registry-call");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int value = input.read();
                if (value < 0) {
                    socket.close();
                    return;
                }
                head.append((char) value);
            }
            String line = head.substring(0, head.indexOf("\r\n"));
            int number;
            synchronized (this) {
                number = ++calls;
            }
            rig.record("discovery: call " + number + ": " + line);
            if (!gate.pass(socket, line, number)) {
                return;
            }
            boolean watch = line.contains("watch=1");
            int at = line.indexOf("after=");
            long after = at < 0 ? -1 : Long.parseLong(line.substring(at + 6).split("[ &]")[0]);
            synchronized (this) {
                String head200 = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
                if (!watch) {
                    byte[] body = form.apply(whole()).getBytes(StandardCharsets.ISO_8859_1);
                    socket.getOutputStream().write((head200 + "Content-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                    socket.getOutputStream().write(body);
                    return;
                }
                socket.getOutputStream()
                        .write((head200 + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                Watch opened = new Watch(socket, after);
                watches.add(opened);
                if (after < wholeBelow || after > seq) {
                    rig.record("discovery: call " + number + " gets the whole list, version " + seq);
                    if (send(opened, form.apply(whole()) + "\n")) {
                        markTold(-1);
                    }
                } else if (after < seq) {
                    rig.record("discovery: call " + number + " gets the changes up to version " + seq);
                    if (send(opened, form.apply(changes(after)) + "\n")) {
                        markTold(after);
                    }
                }
                opened.told = seq;
            }
            while (input.read() >= 0) {
                // A client sends nothing more.
            }
            socket.close();
            synchronized (this) {
                watches.removeIf(w -> w.socket == socket);
            }
        } catch (Exception e) {
            synchronized (this) {
                watches.removeIf(w -> w.socket == socket);
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
