package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.eventloop.Clock;
import loadbalancer.policy.ListCurrency;
import loadbalancer.policy.OperatorRules;
import org.junit.jupiter.api.Test;

/** Each transition of the endpoint list is logged once, and no call has a line of its own. */
class DiscoveryLogTest {
    private final AtomicLong nanos = new AtomicLong(1);
    private final List<String> lines = new ArrayList<>();
    private final Clock clock = new Clock(nanos::get);
    private final ListCurrency currency = new ListCurrency(new OperatorRules(500, 4, 1500, 0.12, 24_000, 10_000));
    private final DiscoveryLog log = new DiscoveryLog(clock, currency, lines::add);

    private void advance(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private List<String> newLines() {
        List<String> taken = List.copyOf(lines);
        lines.clear();
        return taken;
    }

    @Test
    void saysOnceThatListIsUnavailableAndCountsCallsAtTheEnd() {
        log.callBegun();
        advance(2600);
        log.callEnded(CallEnd.NOT_ANSWERED, 2600, clock.now() + 150);
        assertEquals(
                List.of("endpoint list unavailable: no answer 2.6 s after the call began;"
                        + " the list known at the start stays in use, current as of no known time;"
                        + " next call in 150 ms"),
                newLines());
        for (int i = 0; i < 10; i++) {
            log.callBegun();
            log.callEnded(CallEnd.REJECTED, 0, Double.NaN);
        }
        assertEquals(List.of(), newLines());
        advance(1000);
        currency.answered(clock.now() - 400);
        log.listCurrent(43L);
        log.tick();
        assertEquals(
                List.of("endpoint list available again: version 43 after 1.0 s, current as of 0.4 s ago;"
                        + " calls begun 11, ended by no answer 1, ended by a rejection 10"),
                newLines());
    }

    @Test
    void repeatsDuringOutageEveryFiveSeconds() {
        currency.answered(clock.now());
        log.versionReceived(42L);
        log.callBegun();
        log.callEnded(CallEnd.CLOSED, 0, Double.NaN);
        newLines();
        for (int i = 0; i < 100; i++) {
            advance(100);
            log.tick();
        }
        assertEquals(List.of("endpoint list version 42 in force, current as of 0.1 s ago"), lines.subList(0, 1));
        lines.remove(0);
        assertEquals(2, lines.size(), lines::toString);
        assertEquals(
                "endpoint list still unavailable after 5.0 s: calls begun 1, ended by the end of the connection 1;"
                        + " version 42 stays in use, current as of 5.0 s ago",
                lines.get(0));
    }

    @Test
    void saysVersionInForceOncePerSecond() {
        for (int version = 50; version < 150; version++) {
            currency.answered(clock.now());
            log.listCurrent((long) version);
            log.tick();
            log.tick();
            advance(100);
        }
        assertEquals(10, lines.size(), lines::toString);
        assertEquals("endpoint list version 50 in force, current as of 0.0 s ago", lines.get(0));
        assertEquals("endpoint list version 60 in force, current as of 0.0 s ago", lines.get(1));
    }
}
