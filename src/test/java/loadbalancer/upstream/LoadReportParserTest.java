package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.LoadReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Load reports as endpoints write them. */
class LoadReportParserTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "util",
                "util=",
                "util=x",
                "util=-1",
                "util=NaN",
                "util=Infinity",
                "util=1d",
                "util=0x1p3",
                "qps=99999999",
                "util=0.5,",
                "util=0.5;qps=3"
            })
    void aMalformedLoadReportIsNone(String text) {
        assertNull(LoadReportParser.parse(text));
    }

    @Test
    void aLoadReportIsReadAndUnknownFieldsIgnored() {
        LoadReport r = LoadReportParser.parse("util=0.61,qps=140,eps=0.5,other=3");
        assertEquals(0.61, r.utilization());
        assertEquals(140, r.requestsPerSecond());
        assertEquals(0.5, r.errorsPerSecond());
        assertTrue(Double.isNaN(r.inFlight()));
    }
}
