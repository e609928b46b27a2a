package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SocketAddressesTest {
    @Test
    void parsesAddressAndPort() {
        assertEquals("/127.0.0.1:9000", SocketAddresses.parse("127.0.0.1:9000").toString());
        assertEquals(65535, SocketAddresses.parse("127.0.0.1:65535").getPort());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "localhost:80", ":80"})
    void rejectsOtherForms(String text) {
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> SocketAddresses.parse(text));
        assertEquals("'" + text + "' is not ADDRESS:PORT", e.getMessage());
    }

    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1:-1", "127.0.0.1:65536"})
    void rejectsPortOutOfRange(String text) {
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> SocketAddresses.parse(text));
        assertEquals("'" + text + "' has no such port", e.getMessage());
    }
}
