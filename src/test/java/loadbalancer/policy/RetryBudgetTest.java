package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How retry tokens are earned and saved. */
class RetryBudgetTest {
    private final RetryBudget budget = new RetryBudget();

    private int takeAll() {
        int taken = 0;
        while (budget.tryTake()) {
            taken++;
        }
        return taken;
    }

    private void earn(int requests) {
        for (int i = 0; i < requests; i++) {
            budget.earn();
        }
    }

    @Test
    void startsWithFiveTokens() {
        assertEquals(5, takeAll());
    }

    @Test
    void sevenRequestsEarnOneToken() {
        takeAll();
        earn(6);
        assertFalse(budget.tryTake());
        earn(1);
        assertTrue(budget.tryTake());
        assertFalse(budget.tryTake());
    }

    @Test
    void savesTenTokensAtMost() {
        earn(1000);
        assertEquals(10, takeAll());
    }
}
