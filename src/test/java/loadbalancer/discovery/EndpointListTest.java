package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointListTest {
    private static EndpointList parse(String json) throws Exception {
        return EndpointList.parse(new ObjectMapper().readTree(json.replace('\'', '"')));
    }

    private static EndpointList parseHost(String host) throws Exception {
        return parse("{'seq':7,'whole':true,'hosts':[" + host + "]}");
    }

    @Test
    void readsAllFieldsOfEntry() throws Exception {
        EndpointList list = parseHost(
                "{'host':'a','health':'draining','dial':'127.0.0.1:9','share':2,'site':'z','block':3,'born_ms':5}");
        Endpoint endpoint = new Endpoint("a", EndpointStatus.DRAINING, 2, "z", 3, 5);
        assertEquals(
                new EndpointList.Entry(endpoint, SocketAddresses.parse("127.0.0.1:9")),
                list.entries().get(0));
        assertEquals(7, list.version());
    }

    @Test
    void removedEndpointNeedsNoAddress() throws Exception {
        EndpointList.Entry entry =
                parseHost("{'host':'a','health':'gone'}").entries().get(0);
        assertEquals(new Endpoint("a", EndpointStatus.REMOVED, 1, "", -1, 0), entry.endpoint());
        assertNull(entry.address());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "{'health':'ready'} | host is missing or malformed",
                "{'host':'a','health':'odd'} | health of a is unknown",
                "{'host':'a','health':'ready','share':'x'} | share is malformed",
                "{'host':'a','health':'ready','born_ms':-1} | born_ms is malformed",
                "{'host':'a','health':'ready','dial':'a:1'} | 'a:1' is not ADDRESS:PORT"
            })
    void namesWhatIsMalformed(String host, String reason) {
        EndpointListException e = assertThrows(EndpointListException.class, () -> parseHost(host));
        assertEquals(reason, e.getMessage());
    }

    @Test
    void keepsReasonInOneLine() {
        assertEquals("first", new EndpointListException("first\nsecond").getMessage());
        assertEquals("", new EndpointListException("").getMessage());
    }
}
