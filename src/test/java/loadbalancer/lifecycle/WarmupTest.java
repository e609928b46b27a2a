package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import loadbalancer.configuration.Configuration;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;

/** The warm-up before the sidecar is ready. */
class WarmupTest {
    @Test
    void servesRequestsThroughAllComponents() throws Exception {
        Configuration configuration =
                Configuration.parse(TestSidecar.config("127.0.0.1:0", "127.0.0.1:1", 1024), new ObjectMapper());
        assertTrue(Warmup.run(configuration.settings()) > 0);
    }
}
