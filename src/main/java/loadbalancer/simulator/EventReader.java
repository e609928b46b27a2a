package loadbalancer.simulator;

import static java.util.Map.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import loadbalancer.configuration.ConfigurationException;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.PolicyRequest;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.WatchEvent;

/** Reads the fields of each event and passes the event to its instance. Owns the running instances. */
final class EventReader {
    private static final int MAX_SIDECAR = 1_000_000;
    private static final Integer NO_TENANT = -1;
    private static final String EMPTY_MESSAGE = "-";

    private static final WireWords<AttemptOutcome> OUTCOMES = WireWords.of(
            entry("done", AttemptOutcome.SUCCESS),
            entry("err", AttemptOutcome.ERROR),
            entry("busy", AttemptOutcome.REJECTED),
            entry("etimedout", AttemptOutcome.TIMED_OUT),
            entry("econnrefused", AttemptOutcome.CONNECT_FAILED),
            entry("econnreset", AttemptOutcome.RESET),
            entry("ecanceled", AttemptOutcome.CANCELLED),
            entry("skipped", AttemptOutcome.NOT_SENT));
    private static final WireWords<WatchEvent> WATCH_EVENTS = WireWords.of(
            entry("D", WatchEvent.DELTA),
            entry("F", WatchEvent.SNAPSHOT),
            entry("C", WatchEvent.STALE_SNAPSHOT),
            entry("X", WatchEvent.FAILED));

    private final WireReader in;
    private final WireWriter out;
    private final EndpointLists endpointLists;
    private final LoadReportReader loadReports;
    /** By number; null where no instance runs. */
    private final List<SimulatedSidecar> sidecars = new ArrayList<>();

    EventReader(WireReader in, WireWriter out) {
        this.in = in;
        this.out = out;
        this.endpointLists = new EndpointLists(in);
        this.loadReports = new LoadReportReader(in);
    }

    /** Reads the rest of an event's message, whose name was read, and handles the event at this time. */
    void read(EventType type, double now) throws IOException {
        switch (type) {
            case STARTED -> readStart(now);
            case CRASHED -> readCrash();
            case ENDPOINT_LIST -> endpointLists.readList();
            case ENDPOINTS_CHANGED -> readEndpointsChange(now);
            case REQUEST_ARRIVED -> readRequest(now);
            case ATTEMPT_ENDED -> readAttemptEnd(now);
            case RESPONSE_STREAMING -> readResponseStart(now);
            case CLIENT_DISCONNECTED -> readClientDisconnect(now);
            case PROBE_ENDED -> readProbeEnd(now);
            case MESSAGE_RECEIVED -> readMessage(now);
            case WAKE -> readWake(now);
        }
    }

    private SimulatedSidecar readSidecar() {
        int number = in.nonNegativeInt("sidecar");
        SimulatedSidecar sidecar = number < sidecars.size() ? sidecars.get(number) : null;
        if (sidecar == null) {
            throw in.malformed("sidecar", "'" + number + "' is not running");
        }
        return sidecar;
    }

    private void readStart(double now) {
        int number = in.nonNegativeInt("sidecar");
        if (number > MAX_SIDECAR) {
            throw in.malformed("sidecar", "'" + number + "' is out of range");
        }
        long seed = in.integer("seed");
        PolicySettings settings = readSettings();
        while (sidecars.size() <= number) {
            sidecars.add(null);
        }
        SimulatedSidecar sidecar = new SimulatedSidecar(number, settings, seed, out);
        sidecars.set(number, sidecar);
        sidecar.start(now);
    }

    private PolicySettings readSettings() {
        try {
            return InstanceParameters.parse(in.rest());
        } catch (ConfigurationException e) {
            throw in.malformed("boot_info", e.getMessage(), e);
        }
    }

    private void readCrash() {
        int number = in.nonNegativeInt("sidecar");
        if (number < sidecars.size()) {
            sidecars.set(number, null);
        }
    }

    private void readEndpointsChange(double now) {
        SimulatedSidecar sidecar = readSidecar();
        in.number("epoch", 0);
        WatchEvent event = in.choice("scope", WATCH_EVENTS);
        List<Endpoint> endpoints = event == WatchEvent.FAILED ? List.of() : endpointLists.readReference();
        sidecar.endpointsChanged(now, event, endpoints);
    }

    private void readRequest(double now) {
        SimulatedSidecar sidecar = readSidecar();
        long id = in.integer("msg_id");
        int requestClass = in.choice("grade", sidecar.classIndices());
        int tenant = in.optionalChoice("project", sidecar.tenantIndices(), NO_TENANT);
        in.field("object");
        double timeLeftMillis = in.number("time_left");
        in.number("work", Double.NaN);
        boolean retry = in.flag("retry", false);
        in.flag("write", false);
        if (sidecar.isOpen(id)) {
            throw in.malformed("msg_id", "'" + id + "' is open already");
        }
        sidecar.requestArrived(now, new PolicyRequest(id, requestClass, tenant, timeLeftMillis, retry));
    }

    private void readAttemptEnd(double now) {
        SimulatedSidecar sidecar = readSidecar();
        long id = in.integer("msg_id");
        int attempt = in.nonNegativeInt("attempt");
        in.field("endpoint");
        AttemptOutcome outcome = in.choice("disposition", OUTCOMES);
        double durationMillis = in.number("lag");
        boolean finished = in.flag("last", false);
        LoadReport report = loadReports.read();
        sidecar.attemptEnded(now, id, attempt, outcome, durationMillis, finished, report);
    }

    private void readResponseStart(double now) {
        SimulatedSidecar sidecar = readSidecar();
        long id = in.integer("msg_id");
        int attempt = in.nonNegativeInt("attempt");
        in.field("endpoint");
        in.number("lag");
        sidecar.responseStreaming(now, id, attempt);
    }

    private void readClientDisconnect(double now) {
        SimulatedSidecar sidecar = readSidecar();
        sidecar.clientDisconnected(now, in.integer("msg_id"));
    }

    private void readProbeEnd(double now) {
        SimulatedSidecar sidecar = readSidecar();
        String endpoint = in.word("endpoint");
        AttemptOutcome outcome = in.choice("disposition", OUTCOMES);
        double durationMillis = in.number("lag");
        sidecar.probeEnded(now, endpoint, outcome, durationMillis, loadReports.read());
    }

    private void readMessage(double now) {
        SimulatedSidecar sidecar = readSidecar();
        int from = in.nonNegativeInt("src");
        String raw = in.hasMore() ? in.word("raw") : EMPTY_MESSAGE;
        byte[] message;
        try {
            message = raw.equals(EMPTY_MESSAGE)
                    ? new byte[0]
                    : Base64.getDecoder().decode(raw);
        } catch (IllegalArgumentException e) {
            throw in.malformed("raw", "is not base64", e);
        }
        sidecar.messageReceived(now, from, message);
    }

    private void readWake(double now) {
        SimulatedSidecar sidecar = readSidecar();
        in.field("tag");
        sidecar.wake(now);
    }
}
