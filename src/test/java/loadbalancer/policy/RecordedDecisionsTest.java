package loadbalancer.policy;

import java.io.IOException;
import loadbalancer.testing.RecordedBehaviour;
import org.junit.jupiter.api.Test;

/** Every action of the policy in seeded random runs is the one that was recorded. */
class RecordedDecisionsTest {
    private static final int SEEDS = 200;

    @Test
    void actionsOfRandomRunsAreUnchanged() throws IOException {
        StringBuilder hashes = new StringBuilder();
        for (int seed = 0; seed < SEEDS; seed++) {
            String actions = RandomPolicyRun.play(seed);
            hashes.append(seed).append(' ').append(actions.lines().count()).append(' ');
            hashes.append(RecordedBehaviour.sha256(actions)).append('\n');
        }
        RecordedBehaviour.assertUnchanged("policy-actions.sha256", hashes.toString());
    }
}
