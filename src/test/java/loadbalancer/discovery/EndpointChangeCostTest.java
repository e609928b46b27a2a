package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.management.ThreadMXBean;
import io.netty.buffer.Unpooled;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.memory.MemoryUse;
import loadbalancer.policy.WatchEvent;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;

/** What one change of the endpoint list costs, from its line of the watch to the policy. */
class EndpointChangeCostTest {
    private static final int FEW_ENDPOINTS = 200;
    private static final int SOME_ENDPOINTS = 1000;
    /** Sixteen times the usual number. */
    private static final int MANY_ENDPOINTS = 3200;

    private static final int FIRST_REPLACEMENTS = 100;
    private static final int MEASURED_REPLACEMENTS = 300;
    private static final int CHANGES_PER_REPLACEMENT = 3;
    private static final double MAX_GROWTH = 1.5;
    private static final double NANOS_PER_MICRO = 1000;
    private static final InetSocketAddress SERVICE = new InetSocketAddress("127.0.0.1", 1);

    private record Cost(int endpoints, double bytesPerChange, double microsPerChange) {}

    /** A sidecar that is told changes, one line for each. */
    private static final class ChangingSidecar implements AutoCloseable {
        private final TestSidecar sidecar;
        private final int endpoints;
        private final RetiredEndpoints retired = new RetiredEndpoints(line -> {});
        private final EndpointListDecoder decoder = new EndpointListDecoder(
                new ObjectMapper(), MemoryBudget.unlimited().newHolding(MemoryUse.ENDPOINT_LISTS));
        private long version = 50;
        private int replaced;

        private ChangingSidecar(int endpoints) throws Exception {
            this.endpoints = endpoints;
            this.sidecar = new TestSidecar(
                    FakeServer.refusing(),
                    IntStream.range(0, endpoints)
                            .mapToObj(i -> "127.0.0.1:" + (2000 + i))
                            .toArray(String[]::new));
        }

        private void replace(int count) throws EndpointListException {
            for (int i = 0; i < count; i++) {
                int index = replaced++ % endpoints;
                String address = "127.0.0.1:" + (2000 + index);
                String name = "s" + index + "-".repeat(replaced / endpoints);
                tell(TestSidecar.host(name, address, "draining"));
                tell(TestSidecar.host(name, address, "gone"));
                tell(TestSidecar.host(name + "-", address, "ready"));
            }
        }

        private void tell(String host) throws EndpointListException {
            String line = TestSidecar.list(version++, false, host) + "\n";
            decoder.decode(Unpooled.copiedBuffer(line, StandardCharsets.US_ASCII), object -> {
                EndpointList list = retired.apply(EndpointList.parse(object), SERVICE, version, version);
                sidecar.dispatcher.endpointsReceived(WatchEvent.DELTA, list);
            });
        }

        private Cost measure() throws Exception {
            return sidecar.call(() -> {
                replace(FIRST_REPLACEMENTS);
                ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
                long thread = Thread.currentThread().getId();
                long bytesBefore = threads.getThreadAllocatedBytes(thread);
                long nanosBefore = System.nanoTime();
                replace(MEASURED_REPLACEMENTS);
                double changes = MEASURED_REPLACEMENTS * CHANGES_PER_REPLACEMENT;
                double micros = (System.nanoTime() - nanosBefore) / NANOS_PER_MICRO / changes;
                double bytes = (threads.getThreadAllocatedBytes(thread) - bytesBefore) / changes;
                return new Cost(endpoints, bytes, micros);
            });
        }

        @Override
        public void close() {
            sidecar.close();
        }
    }

    private static Cost measure(int endpoints) throws Exception {
        try (ChangingSidecar sidecar = new ChangingSidecar(endpoints)) {
            Cost cost = sidecar.measure();
            System.out.println(cost);
            return cost;
        }
    }

    // Guards against changes that fill the event loop for seconds, since each costs work by all endpoints that there
    // are. What is allocated stands for the work: it does not depend on the machine's speed.
    @Test
    void changeCostsNoMoreWhereThereAreManyEndpoints() throws Exception {
        Cost few = measure(FEW_ENDPOINTS);
        Cost some = measure(SOME_ENDPOINTS);
        Cost many = measure(MANY_ENDPOINTS);
        assertTrue(some.bytesPerChange() <= MAX_GROWTH * few.bytesPerChange(), () -> few + " and " + some);
        assertTrue(many.bytesPerChange() <= MAX_GROWTH * few.bytesPerChange(), () -> few + " and " + many);
    }
}
