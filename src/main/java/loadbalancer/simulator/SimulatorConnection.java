package loadbalancer.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/**
 * A conversation with the simulator: batches of events come in, and each is answered by one reply with the actions of
 * the instances' policies.
 */
public final class SimulatorConnection {
    private final WireReader in;
    private final WireWriter out;
    private final EventReader events;
    private double now = Double.NEGATIVE_INFINITY;

    /** A conversation on these streams, which it does not close. */
    public SimulatorConnection(InputStream in, OutputStream out) {
        this.in = new WireReader(in);
        this.out = new WireWriter(out);
        this.events = new EventReader(this.in, this.out);
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws WireFormatException if the input does not follow the simulator's protocol
     * @throws IOException if a stream fails
     */
    public void run() throws IOException {
        while (in.nextLine()) {
            if (!in.blank()) {
                handleBatch();
            }
        }
    }

    private void handleBatch() throws IOException {
        in.field("message");
        if (!in.is("tick")) {
            throw in.malformed("message", "'" + in.text() + "' where a tick was due");
        }
        double clock = in.number("clock");
        if (clock < now) {
            throw in.malformed("clock", "runs backwards");
        }
        now = clock;
        long batch = in.integer("batch");
        handleEvents();
        out.word("next ").integer(batch).endLine().flush();
    }

    private void handleEvents() throws IOException {
        while (in.nextLine()) {
            if (in.blank()) {
                continue;
            }
            in.field("message");
            if (in.is("eob")) {
                return;
            }
            EventType type = in.find(EventType.WORDS);
            if (type == null) {
                throw in.malformed("message", "'" + in.text() + "' is unknown");
            }
            events.read(type, now);
        }
        throw in.malformed("message", "the input ends inside a batch");
    }
}
