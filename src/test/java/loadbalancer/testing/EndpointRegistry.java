package loadbalancer.testing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The endpoints as one discovery service knows them, with the version of each change. */
public final class EndpointRegistry {
    /**
     * An endpoint.
     *
     * @param health {@code ready}, {@code draining} or {@code gone}
     * @param startedAtMillis Unix time, or 0 for long ago
     */
    public record Host(String id, String address, String health, long startedAtMillis) {
        /** Returns true if nothing new may be sent to it. */
        public boolean retired() {
            return !health.equals("ready");
        }

        private boolean listed() {
            return !health.equals("gone");
        }

        private String json() {
            return TestSidecar.host(id, address, health).replace("\"born_ms\":0", "\"born_ms\":" + startedAtMillis);
        }
    }

    private record Versioned(Host host, long version) {}

    private final Map<String, Versioned> hosts = new LinkedHashMap<>();
    private long version;

    /** A service that knows no endpoint and is at this version. */
    public EndpointRegistry(long version) {
        this.version = version;
    }

    /** Returns the version of the last change. */
    public synchronized long version() {
        return version;
    }

    /** These endpoints change together. */
    public synchronized void change(List<Host> changed) {
        version++;
        changed.forEach(host -> hosts.put(host.id(), new Versioned(host, version)));
    }

    /** The service has been restarted, and counts its versions from this one on. */
    public synchronized void countAnew(long firstVersion) {
        version = firstVersion;
        hosts.replaceAll((id, known) -> new Versioned(known.host, firstVersion));
    }

    /** Returns the whole list. */
    public synchronized String wholeList() {
        return json(
                true,
                hosts.values().stream()
                        .map(Versioned::host)
                        .filter(Host::listed)
                        .toList());
    }

    /** Returns what has changed after this version. */
    public synchronized String changesAfter(long since) {
        return json(false, changed(since));
    }

    private List<Host> changed(long since) {
        return hosts.values().stream()
                .filter(known -> known.version > since)
                .map(Versioned::host)
                .toList();
    }

    /** Returns the endpoints that drain or are gone. */
    public synchronized List<Host> retired() {
        return hosts.values().stream()
                .map(Versioned::host)
                .filter(Host::retired)
                .toList();
    }

    /** Returns those of them that the changes after this version tell. */
    public synchronized List<Host> retiredAfter(long since) {
        return changed(since).stream().filter(Host::retired).toList();
    }

    private String json(boolean whole, List<Host> listed) {
        List<String> entries = new ArrayList<>();
        listed.forEach(host -> entries.add(host.json()));
        return TestSidecar.list(version, whole, entries.toArray(new String[0]));
    }
}
