package loadbalancer.simulator;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import loadbalancer.testing.RecordedBehaviour;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The adapter's replies to recorded input of the simulator are the recorded ones, byte for byte. */
class RecordedTranscriptTest {
    private static final int BATCHES = 400;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void repliesAreUnchanged(long seed) throws Exception {
        String name = "simulator-" + seed;
        if (RecordedBehaviour.isRecording()) {
            RecordedBehaviour.write(
                    name + ".in", SimulatorDriver.play(seed, BATCHES).input());
        }
        byte[] input = RecordedBehaviour.read(name + ".in").getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        new SimulatorConnection(new ByteArrayInputStream(input), output).run();
        RecordedBehaviour.assertUnchanged(name + ".out", output.toString(StandardCharsets.UTF_8));
    }
}
