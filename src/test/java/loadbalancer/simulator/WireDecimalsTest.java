package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WireDecimalsTest {
    private static double parse(String text) {
        byte[] bytes = ("x" + text + "1").getBytes(StandardCharsets.UTF_8);
        return WireDecimals.parse(bytes, 1, bytes.length - 1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "0",
                "-0",
                "7",
                "-7.25",
                "8412.25",
                ".5",
                "5.",
                "1e3",
                "12345678901234567",
                "123456789012345678",
                "0.123456789",
                "0.1234567891",
                "1700000000000.125"
            })
    void parsesLikeDouble(String text) {
        assertEquals(Double.parseDouble(text), parse(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-", ".", "--1", "1.2.3", "soon", "NaN", "Infinity", "1e999"})
    void returnsNanUnlessFiniteNumber(String text) {
        assertTrue(Double.isNaN(parse(text)));
    }
}
