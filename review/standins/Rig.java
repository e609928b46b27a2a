import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What all cases share: the record, the sidecars, which the deploy file's command starts, and the end of both. */
final class Rig {
    /** Where the stand-ins of this run listen, and where its sidecars do: no other run uses these addresses. */
    static final String STANDINS = address(64);

    static final String SIDECARS = address(128);

    /** Exit codes of a run, of which run.sh makes its own: the JVM itself ends with 1 where it can't start. */
    private static final int HELD = 0;

    private static final int BROKEN = 10;
    private static final int NOT_RUN = 2;
    private static final long LIMIT_MILLIS = 105_000;

    /** One sidecar as a process of its own. */
    final class Sidecar {
        final String name;
        final int port;
        final Path config;
        final Path log;
        private Process process;

        private Sidecar(String name, int port, Path config, Path log) {
            this.name = name;
            this.port = port;
            this.config = config;
            this.log = log;
        }

        void start(int discoveryPort) throws IOException {
            Path temporary = Files.createDirectories(folder.resolve(name + "-tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
            builder.directory(root.toFile());
            builder.environment().put("PROXY_NAME", name);
            builder.environment().put("PROXY_LISTEN", SIDECARS + ":" + port);
            builder.environment().put("PROXY_DISCOVERY", STANDINS + ":" + discoveryPort);
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", temporary.toString());
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            record(name + " started");
        }

        boolean alive() {
            return process.isAlive();
        }

        /** Kills the process and waits for its end. */
        void killNow() throws InterruptedException {
            process.destroyForcibly().waitFor();
            record(name + " was killed");
        }

        /** Waits until /health/ready answers 200; false after 30 s, or if the process has ended. */
        boolean awaitReady() throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (System.nanoTime() < end && alive()) {
                try (Client client = new Client(port)) {
                    client.send("GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
                    if (client.answer(1000).status == 200 && alive()) {
                        record(name + " is ready");
                        return true;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                Thread.sleep(50);
            }
            return false;
        }

        private void end() {
            try {
                if (process != null) {
                    process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** False with TROUBLE=0: the same run without the disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Path root;
    private final Path folder;
    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Sidecar> sidecars = new CopyOnWriteArrayList<>();
    private final AtomicBoolean finishing = new AtomicBoolean();
    private boolean recordClosed;

    /** A rig whose record is record.txt in the folder of its case. */
    Rig(String caseFolder) throws IOException {
        Path caseDirectory = Path.of(caseFolder).toAbsolutePath().normalize();
        root = caseDirectory.getParent().getParent();
        folder = Files.createTempDirectory("review");
        record = Files.newBufferedWriter(caseDirectory.resolve("record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
        Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> {
            record("thread " + thread.getName() + ": " + cause);
            if (thread.getName().equals("main")) {
                notRun(cause.toString());
            }
        });
        Thread watchdog = new Thread(() -> {
            sleep(LIMIT_MILLIS);
            notRun("the time is over");
        });
        watchdog.setDaemon(true);
        watchdog.start();
        record(trouble ? "run with the disruption" : "run without the disruption (TROUBLE=0)");
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Writes a line of what was sent, answered and run; nothing once the verdict is written. */
    synchronized void record(String line) {
        if (recordClosed) {
            return;
        }
        try {
            record.write(String.format(Locale.ROOT, "%9.3f %s%n", seconds(), line));
            record.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a request and waits for its answer; records both. */
    Client.Answer ask(Client client, String id, String request, int waitMillis) throws IOException {
        record("sent: " + id + ", " + request.substring(0, request.indexOf(' ')));
        client.send(request);
        Client.Answer answer = client.answer(waitMillis);
        record("answered: " + id + ", " + answer.status);
        return answer;
    }

    /** Returns a command of the deploy file. */
    String deployCommand(String name) throws IOException {
        String file = Files.readString(root.resolve("deploy/balancer.toml"));
        Matcher matcher = Pattern.compile("(?m)^" + name + " = \"(.*)\"$").matcher(file);
        if (!matcher.find()) {
            throw new IOException("no command " + name);
        }
        return matcher.group(1).replace("\\\"", "\"");
    }

    /** An address of 127.0.0.0/8 by the id of this process. */
    private static String address(int second) {
        long id = ProcessHandle.current().pid();
        return "127." + (second + id / 62_500 % 64) + "." + id / 250 % 250 + "." + (1 + id % 250);
    }

    static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(address), 0));
            return socket.getLocalPort();
        }
    }

    /** Makes a sidecar, not yet started. */
    Sidecar sidecar(String name, int discoveryPort, Settings settings, String known) throws IOException {
        Sidecar sidecar = new Sidecar(
                name, freePort(SIDECARS), folder.resolve(name + ".json"), folder.resolve(name + ".log"));
        writeConfig(sidecar, discoveryPort, settings, known);
        sidecars.add(sidecar);
        return sidecar;
    }

    void writeConfig(Sidecar sidecar, int discoveryPort, Settings settings, String known) throws IOException {
        Path next = folder.resolve(sidecar.name + ".json.next");
        Files.writeString(
                next,
                "{\"name\":\"" + sidecar.name + "\",\"listen\":\"" + SIDECARS + ":" + sidecar.port
                        + "\",\"discovery\":\"" + STANDINS + ":" + discoveryPort + "\",\"seed\":\""
                        + Long.toHexString(System.nanoTime() & 0xffffffffL) + "\",\"limits\":{\"cores\":1.0,"
                        + "\"memory_mb\":192,\"sockets\":1024},\"known\":" + known + ",\"settings\":"
                        + settings.json() + "}");
        Files.move(next, sidecar.config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    /** Copies the last lines of the sidecars' logs into the record. */
    void recordLogs() throws IOException {
        for (Sidecar sidecar : sidecars) {
            if (Files.exists(sidecar.log)) {
                List<String> lines = Files.readAllLines(sidecar.log, StandardCharsets.ISO_8859_1);
                for (String line : lines.subList(Math.max(0, lines.size() - 40), lines.size())) {
                    record("log of " + sidecar.name + ": " + line);
                }
            }
        }
    }

    /** Ends the run by what it showed, if its sidecars have lived to the end. */
    void verdict(boolean broken, String text) {
        if (!sidecars.stream().allMatch(Sidecar::alive)) {
            notRun("a sidecar has ended; " + text);
        }
        finish(broken ? BROKEN : HELD, (broken ? "broken: " : "held: ") + text);
    }

    /** Ends a run whose sidecar has ended without being told to. */
    void crashed() {
        finish(BROKEN, "broken: the sidecar has ended");
    }

    /** Ends a run that says nothing about the rule. */
    void notRun(String why) {
        finish(NOT_RUN, "could not run: " + why);
    }

    private void finish(int code, String verdict) {
        if (!finishing.compareAndSet(false, true)) {
            sleep(LIMIT_MILLIS);
        }
        try {
            recordLogs();
        } catch (IOException e) {
            record("no logs: " + e);
        }
        record("verdict: " + verdict);
        System.out.println(verdict);
        cleanUp();
        Runtime.getRuntime().halt(code);
    }

    /** Ends the processes and removes the temporary folder. */
    private void cleanUp() {
        synchronized (this) {
            recordClosed = true;
        }
        sidecars.forEach(Sidecar::end);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException | UncheckedIOException e) {
            System.out.println("the temporary folder was not removed: " + e);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
