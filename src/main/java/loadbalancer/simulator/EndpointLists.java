package loadbalancer.simulator;

import static java.util.Map.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointStatus;

/** The numbered endpoint lists that the events of all instances refer to. A new list replaces one of its number. */
final class EndpointLists {
    private static final int LISTS = 16;
    private static final double DEFAULT_CAPACITY_WEIGHT = 1;
    private static final double NO_CELL = -1;
    /** A start that stands for long ago. */
    private static final double UNKNOWN_START_MILLIS = 0;

    private static final WireWords<EndpointStatus> STATUSES = WireWords.of(
            entry("U", EndpointStatus.READY), entry("L", EndpointStatus.DRAINING), entry("D", EndpointStatus.REMOVED));

    private final WireReader in;
    private final List<List<Endpoint>> lists = new ArrayList<>(Collections.nCopies(LISTS, null));

    EndpointLists(WireReader in) {
        this.in = in;
    }

    /** Reads the rest of a list's message, and the lines of its entries. */
    void readList() throws IOException {
        int number = in.nonNegativeInt("buffer");
        if (number >= LISTS) {
            throw in.malformed("buffer", "'" + number + "' is out of range");
        }
        int count = in.nonNegativeInt("entries");
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(readEntry());
        }
        lists.set(number, List.copyOf(endpoints));
    }

    private Endpoint readEntry() throws IOException {
        if (!in.nextLine()) {
            throw in.malformed("entries", "the input ends inside a list");
        }
        in.field("message");
        if (!in.is("entry")) {
            throw in.malformed("message", "'" + in.text() + "' where an entry was due");
        }
        double capacityWeight = in.number("power_hint", DEFAULT_CAPACITY_WEIGHT);
        EndpointStatus status = in.choice("mode", STATUSES);
        in.field("family_type");
        String zone = in.word("area");
        int cell = (int) in.number("block", NO_CELL);
        String id = in.word("endpoint");
        double startedAtMillis = in.number("born", UNKNOWN_START_MILLIS);
        return new Endpoint(id, status, capacityWeight, zone, cell, startedAtMillis);
    }

    /** Reads a list's number and returns the list. */
    List<Endpoint> readReference() {
        int number = in.nonNegativeInt("buffer");
        if (number >= LISTS || lists.get(number) == null) {
            throw in.malformed("buffer", "'" + number + "' holds no list");
        }
        return lists.get(number);
    }
}
