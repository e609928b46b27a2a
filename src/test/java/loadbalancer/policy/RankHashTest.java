package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The order in which a sidecar prefers endpoints. */
class RankHashTest {
    @Test
    void rankDependsOnSaltAndIdOnly() {
        assertEquals(new RankHash(7).rank("s1"), new RankHash(7).rank("s1"));
        assertNotEquals(new RankHash(7).rank("s1"), new RankHash(8).rank("s1"));
        assertNotEquals(new RankHash(7).rank("s1"), new RankHash(7).rank("s2"));
    }

    @Test
    void everyEndpointIsFirstForSomeSidecar() {
        Set<Integer> first = new HashSet<>();
        for (int salt = 0; salt < 200; salt++) {
            RankHash ranks = new RankHash(salt);
            int lowest = 0;
            for (int i = 1; i < 20; i++) {
                lowest = ranks.rank("s" + i) < ranks.rank("s" + lowest) ? i : lowest;
            }
            first.add(lowest);
        }
        assertTrue(first.size() == 20, "first for one of 200 sidecars: " + first);
    }
}
