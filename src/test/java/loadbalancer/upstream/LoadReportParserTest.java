package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
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
    void rejectsMalformedReport(String text) {
        assertNull(LoadReportParser.parse(text));
    }

    @Test
    void ignoresRepeatedHeader() {
        assertNull(LoadReportParser.parse(List.of("util=0.5", "util=0.5")));
        assertNull(LoadReportParser.parse(List.of()));
    }

    @Test
    void parsesReportAndIgnoresUnknownFields() {
        LoadReport report = LoadReportParser.parse("util=0.61,qps=140,eps=0.5,other=3");
        assertEquals(0.61, report.utilization());
        assertEquals(140, report.requestsPerSecond());
        assertEquals(0.5, report.errorsPerSecond());
        assertTrue(Double.isNaN(report.inFlight()));
    }
}
