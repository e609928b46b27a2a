package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which lists can make an endpoint ready again that drained or went. */
class RetiredEndpointsTest {
    private static final InetSocketAddress FIRST_SERVICE = SocketAddresses.parse("127.0.0.1:1");
    private static final InetSocketAddress OTHER_SERVICE = SocketAddresses.parse("127.0.0.1:2");

    private double now;
    private final List<String> log = new ArrayList<>();
    private final RetiredEndpoints retired = new RetiredEndpoints(log::add);

    private static String host(String health, long startedAtMillis) {
        return TestSidecar.host("a", "127.0.0.1:1", health).replace("\"born_ms\":0", "\"born_ms\":" + startedAtMillis);
    }

    /** Applies a list on a call that began after all lists before had come. */
    private String applied(long version, boolean snapshot, String... hosts) throws Exception {
        return applied(FIRST_SERVICE, now + 1, version, snapshot, hosts);
    }

    private String applied(
            InetSocketAddress service, double callBegunMillis, long version, boolean snapshot, String... hosts)
            throws Exception {
        now += 2;
        String json = TestSidecar.list(version, snapshot, hosts);
        EndpointList list =
                retired.apply(EndpointList.parse(new ObjectMapper().readTree(json)), service, callBegunMillis, now);
        return list.entries().stream()
                .map(entry -> entry.endpoint().status().toString())
                .toList()
                .toString();
    }

    // Guards against requests to an endpoint that drains, once a lagging replica of discovery answers.
    @ParameterizedTest
    @ValueSource(strings = {"draining", "gone"})
    void olderListRevivesNoEndpointThatDrainedOrWentOnNewerOne(String health) throws Exception {
        assertEquals("[READY]", applied(42, true, host("ready", 7)));
        applied(43, false, host(health, 7));
        assertEquals("[DRAINING]", applied(42, true, host("ready", 7)));
        assertEquals("[DRAINING]", applied(42, true, host("ready", 7)));
        assertEquals(
                List.of("endpoint list version 42 names 1 endpoints as ready that are known to drain or to be gone; "
                        + "they go on draining"),
                log);
    }

    // Guards against requests to an endpoint that another service has left out, once the first one lags behind.
    @Test
    void endpointThatServiceLeftOutIsGoneThoughItHasNeverNamedIt() throws Exception {
        assertEquals("[READY]", applied(42, true, host("ready", 7)));
        now += 20_000;
        assertEquals("[]", applied(OTHER_SERVICE, now + 1, 90, true));
        assertEquals("[DRAINING]", applied(42, true, host("ready", 7)));
        assertEquals("[DRAINING]", applied(43, true, host("ready", 7)));
    }

    // Guards against an endpoint that gets no request any more, since a service that lags has not named it yet.
    @Test
    void endpointThatLaggingServiceDoesNotNameYetIsReadyAtAnotherOne() throws Exception {
        assertEquals("[READY]", applied(42, true, host("ready", 7)));
        assertEquals("[]", applied(OTHER_SERVICE, now + 1, 90, true));
        assertEquals("[READY]", applied(42, true, host("ready", 7)));
        assertEquals(List.of(), log);
    }

    @Test
    void olderListRevivesNoEndpointThatWasMissingFromNewerOne() throws Exception {
        applied(42, true, host("ready", 7));
        applied(43, true);
        assertEquals("[DRAINING]", applied(42, true, host("ready", 7)));
    }

    @Test
    void restartedEndpointIsReadyOnOlderList() throws Exception {
        applied(43, true, host("draining", 7));
        assertEquals("[READY]", applied(2, true, host("ready", 8)));
    }

    @Test
    void newerListOfSameServiceMakesDrainingEndpointReadyAgain() throws Exception {
        applied(43, true, host("draining", 7));
        assertEquals("[READY]", applied(44, true, host("ready", 7)));
        // On a call that began before: what it says of the drain is out of date.
        assertEquals("[DRAINING]", applied(FIRST_SERVICE, 0, 43, false, host("draining", 7)));
        assertEquals("[READY]", applied(45, false, host("ready", 7)));
    }

    // Guards against a move to a service that lags behind, which makes a draining endpoint ready again.
    @Test
    void otherServiceRevivesEndpointOnlyOnceItHasNamedItDraining() throws Exception {
        applied(43, true, host("draining", 7));
        assertEquals("[DRAINING]", applied(OTHER_SERVICE, now, 90, true, host("ready", 7)));
        assertEquals("[DRAINING]", applied(OTHER_SERVICE, now, 91, false, host("ready", 7)));
        assertEquals("[DRAINING]", applied(OTHER_SERVICE, now, 92, false, host("draining", 7)));
        assertEquals("[READY]", applied(OTHER_SERVICE, now, 93, false, host("ready", 7)));
    }

    // Guards against a service that restarts, counts anew and has not yet learned of a drain.
    @Test
    void restartedServiceRevivesEndpointOnlyOnceItHasNamedItDraining() throws Exception {
        applied(43, true, host("draining", 7));
        assertEquals("[DRAINING]", applied(1, true, host("ready", 7)));
        assertEquals("[DRAINING]", applied(44, false, host("ready", 7)));
        applied(45, false, host("gone", 7));
        assertEquals("[READY]", applied(46, false, host("ready", 7)));
    }

    // Guards against a service that lags behind, and names an earlier start of the endpoint as draining.
    @Test
    void serviceThatNamedEarlierStartDrainingRevivesNoLaterOne() throws Exception {
        applied(43, true, host("draining", 7));
        assertEquals("[DRAINING]", applied(OTHER_SERVICE, now, 90, true, host("draining", 0)));
        assertEquals("[DRAINING]", applied(OTHER_SERVICE, now, 91, false, host("ready", 7)));
        assertEquals("[READY]", applied(OTHER_SERVICE, now, 92, false, host("ready", 8)));
    }

    @Test
    void serviceThatWasForgottenHasToNameEndpointDrainingAgain() throws Exception {
        applied(43, true, host("draining", 7));
        for (int port = 10; port < 20; port++) {
            applied(SocketAddresses.parse("127.0.0.1:" + port), now, 90, true, host("ready", 7));
        }
        assertEquals("[DRAINING]", applied(44, false, host("ready", 7)));
        assertEquals("[DRAINING]", applied(45, false, host("draining", 7)));
        assertEquals("[READY]", applied(46, false, host("ready", 7)));
    }

    private List<String> retiredBy(InetSocketAddress service, long version, boolean snapshot, String... hosts)
            throws Exception {
        String json = TestSidecar.list(version, snapshot, hosts);
        EndpointList list = EndpointList.parse(new ObjectMapper().readTree(json));
        return retired.applyRetirements(list, service, now, now).stream()
                .map(entry -> entry.endpoint().id() + " " + entry.endpoint().status())
                .toList();
    }

    // Guards against a drain that a call to an address left behind has brought, and that is not heeded.
    @Test
    void serviceLeftBehindRetiresEndpoints() throws Exception {
        applied(43, true, host("ready", 7));
        applied(OTHER_SERVICE, now, 90, true, host("ready", 7));
        assertEquals(List.of("a DRAINING"), retiredBy(FIRST_SERVICE, 44, false, host("draining", 7)));
        assertEquals("[DRAINING]", applied(OTHER_SERVICE, now, 91, false, host("ready", 7)));
    }

    @Test
    void serviceLeftBehindRetiresEndpointThatItLeavesOut() throws Exception {
        applied(43, true, host("ready", 7));
        assertEquals(List.of("a REMOVED"), retiredBy(FIRST_SERVICE, 44, true));
        assertEquals("[DRAINING]", applied(OTHER_SERVICE, now, 91, false, host("ready", 7)));
    }

    // A service that was left behind may never have learned of an endpoint, or of its last start.
    @Test
    void serviceLeftBehindRetiresNoEndpointThatItNeverNamed() throws Exception {
        applied(43, true);
        applied(OTHER_SERVICE, now, 90, true, host("ready", 7));
        assertEquals(List.of(), retiredBy(FIRST_SERVICE, 44, true));
        assertEquals(List.of(), retiredBy(FIRST_SERVICE, 45, false, host("draining", 6)));
        assertEquals("[READY]", applied(OTHER_SERVICE, now, 91, false, host("ready", 7)));
    }
}
