package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The steps of the drop percentage, by figures worked out from its constants. */
class DropControllerTest {
    private static final double FULL_PACE = 1;

    private final DropController drop = new DropController();
    private final OutcomeEvidence lateInFlight = new OutcomeEvidence();
    private final OutcomeEvidence subset = new OutcomeEvidence();

    private void step() {
        drop.step(lateInFlight, subset, FULL_PACE, 1);
    }

    private void assertDropFraction(double expected) {
        assertEquals(expected, drop.dropFraction(), 1e-9);
    }

    @Test
    void halvesPassingTrafficWhileMostIsRejected() {
        // 8 of 8 and 2 accepted ones: 0.8, of which 0.2 is tolerated; the step is full from an excess of 0.5 on.
        drop.evidence().add(1, 8);
        step();
        assertDropFraction(0.5);
        // 0.7 of the evidence is left: 5.6 / 7.6 is still an excess of over 0.5.
        step();
        assertDropFraction(0.75);
    }

    @Test
    void stepsByExcessOverToleratedRejections() {
        drop.evidence().add(0, 8);
        drop.evidence().add(1, 2);
        step();
        assertDropFraction(0);
        drop.evidence().clear();
        // 2 of 2 and 2 accepted ones: an excess of 0.3, three fifths of a full step.
        drop.evidence().add(1, 2);
        step();
        assertDropFraction(0.3);
    }

    @Test
    void keepsPartOfEvidenceFromPeriodToPeriod() {
        drop.evidence().add(1, 2);
        step();
        step();
        // 0.7 of the evidence is left in the second: 1.4 of 1.4 and 2 accepted ones.
        assertDropFraction(0.3 + 0.7 * (1.4 / 3.4 - 0.2));
    }

    @Test
    void fallsByPartOfPassingTrafficWhenIdle() {
        drop.dropAll();
        step();
        assertDropFraction(0.996);
        step();
        assertDropFraction(0.996 - 0.08 * 0.004 - 0.004);
    }

    @Test
    void fallsAtRecoveryPaceAndSlowdown() {
        drop.evidence().add(1, 8);
        step();
        drop.evidence().clear();
        drop.step(lateInFlight, subset, 0.5, 2);
        assertDropFraction(0.5 - (0.08 * 0.5 * 0.5 + 0.004) / 2);
    }

    @Test
    void countsLateAttemptsInFlightFromTheSecondOn() {
        lateInFlight.add(1, 1);
        step();
        assertDropFraction(0);
        lateInFlight.add(1, 1);
        step();
        assertDropFraction(0.3);
    }

    @Test
    void followsRejectionsOfTheSubset() {
        // 10 of 10 and 2 accepted ones, of which 0.25 is tolerated, stand in for the endpoint's own outcomes.
        subset.add(1, 10);
        step();
        assertDropFraction((10.0 / 12 - 0.25 - 0.2) / 0.5 * 0.5);
    }

    @Test
    void recoversForIdlePeriodsOutsideTheSubset() {
        drop.dropAll();
        drop.recoverIdlePeriods(0.9);
        assertDropFraction(1);
        drop.recoverIdlePeriods(10);
        // 1.08 to the 10th is 2.158924997.
        assertEquals(1 - (0.05 * 2.158924997 - 0.05), drop.dropFraction(), 1e-6);
        drop.recoverIdlePeriods(1000);
        assertDropFraction(0);
    }
}
