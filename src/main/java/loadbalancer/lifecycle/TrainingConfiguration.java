package loadbalancer.lifecycle;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;

/** The configuration file of a sidecar in the {@link ClassArchiveTraining}, which the training may rewrite. */
final class TrainingConfiguration {
    private final Path file;
    private final boolean pushed;
    private final ObjectNode configuration;
    private final int port;

    /**
     * Takes over another configuration, except for the address, a free one, the request classes and the way that lists
     * come.
     *
     * @param original the file to take over
     * @param file the file to be written
     * @param pushed whether endpoint lists are pushed; otherwise they are polled
     * @throws IOException if the original can't be read or no port is free
     */
    TrainingConfiguration(Path original, Path file, boolean pushed) throws IOException {
        this.file = file;
        this.pushed = pushed;
        this.configuration = (ObjectNode) new ObjectMapper().readTree(original.toFile());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            this.port = free.getLocalPort();
        }
        configuration.put("listen", "127.0.0.1:" + port);
        ObjectNode settings = (ObjectNode) configuration.get("settings");
        settings.put("discovery", pushed ? "push" : "ask");
        addClasses(settings.putArray("classes"));
    }

    private static void addClasses(ArrayNode classes) {
        for (TrainingRequestClass requestClass : TrainingRequestClass.values()) {
            classes.addObject()
                    .put("name", requestClass.key())
                    .put("effect", requestClass.key())
                    .put("group", "all")
                    .put("window", 500)
                    .put("slo", 30_000)
                    .put("deadline", 60_000)
                    .put("value", 1)
                    .put("late_worth", 0);
        }
    }

    /** Writes the file with discovery at this address. */
    void write(String discoveryAddress) throws IOException {
        Files.writeString(file, configuration.put("discovery", discoveryAddress).toString());
    }

    /** Overwrites the file with text that can't be parsed. */
    void writeMalformed() throws IOException {
        Files.writeString(file, "{");
    }

    /** Returns the file's path. */
    String path() {
        return file.toString();
    }

    /** Returns the port that the sidecar listens on. */
    int port() {
        return port;
    }

    /** Returns whether endpoint lists are pushed; otherwise they are polled. */
    boolean pushed() {
        return pushed;
    }
}
