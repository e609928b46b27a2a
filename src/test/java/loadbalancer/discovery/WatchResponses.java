package loadbalancer.discovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestSidecar;

/** The parts of a discovery service's response to a watch. */
final class WatchResponses {
    /** The head of a response whose body is sent in chunks. */
    static final String HEAD = FakeServer.CHUNKED_HEAD;

    private WatchResponses() {}

    static String chunk(String text) {
        return FakeServer.chunk(text);
    }

    /** A chunk with this text as a line. */
    static String line(String text) {
        return chunk(text + "\n");
    }

    static String list(long version, boolean snapshot, String... ids) {
        String[] hosts = new String[ids.length];
        for (int i = 0; i < ids.length; i++) {
            hosts[i] = TestSidecar.host(ids[i], "127.0.0.1:9", "ready");
        }
        return TestSidecar.list(version, snapshot, hosts);
    }

    static String indented(String json) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        return mapper.writerWithDefaultPrettyPrinter().writeValueAsString(mapper.readTree(json));
    }

    /** Sends to a client that may close the connection meanwhile, or has closed it. */
    static void trySend(FakeServer.Connection wire, String text) {
        try {
            wire.text(text);
        } catch (IOException expected) {
            // The client closed the connection.
        }
    }
}
