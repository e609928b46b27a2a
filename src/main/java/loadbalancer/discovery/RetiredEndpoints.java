package loadbalancer.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointStatus;

/**
 * Remembers which endpoints this process has been told are draining or gone, with the start at which each was told so.
 * That is a fact about the endpoint, whoever has said so: it holds across moves of discovery, restarts of the service
 * and older lists, until the endpoint has been started again, or until a service that has itself named it draining or
 * gone names it ready in a newer list. Times are in milliseconds.
 *
 * <p>An endpoint that a whole list leaves out is gone. Only where it has been started lately and the service has never
 * named it, the service may not know of it yet: then it is left out by this list, and nothing is remembered.
 *
 * <p>A service is an address, for as long as its versions do not go back. A list that is older than another one of its
 * service, on a call that began after that one came, shows that the service counts anew: it is another service.
 */
final class RetiredEndpoints {
    /** The one retired first is forgotten. */
    private static final int MAX_RETIRED = 4096;
    /** Of the services, the one that was called first is forgotten: it has to name an endpoint draining again. */
    private static final int MAX_SERVICES = 4;
    /** Each service names an endpoint within so long after its start. */
    private static final double MAX_LAG_MILLIS = 10_000;

    /**
     * An endpoint that drains or is gone.
     *
     * @param startedAtMillis its start as reported
     * @param namedBy the numbers of the services that have said so, with the versions of their lists
     */
    private record Retirement(double startedAtMillis, Map<Integer, Long> namedBy) {}

    private final Consumer<String> log;
    private final Map<InetSocketAddress, ServiceHistory> services = new LinkedHashMap<>();
    private final Map<String, Retirement> retired = new LinkedHashMap<>();
    /** The start times, as reported, of the endpoints that are ready. */
    private final Map<String, Double> ready = new HashMap<>();

    private int serviceCount;
    private boolean logged;

    RetiredEndpoints(Consumer<String> log) {
        this.log = log;
    }

    /**
     * Returns the list with the endpoints as draining that must not become ready by it, and remembers what it says.
     *
     * @param address the service that the list came from
     * @param callBegunMillis when the call began that brought it
     */
    EndpointList apply(EndpointList list, InetSocketAddress address, double callBegunMillis, double nowMillis) {
        ServiceHistory service = service(address, list, callBegunMillis);
        if (service.hasNewerThan(list)) {
            rememberOlder(list, service);
        } else {
            if (list.snapshot()) {
                retireMissing(list, service, nowMillis);
                ready.keySet().retainAll(idsOf(list));
            }
            rememberNewest(list, service, nowMillis);
        }
        return withoutRevived(list);
    }

    /** Remembers which endpoints drain or are gone by a list that is not used otherwise, and returns them. */
    List<EndpointList.Entry> applyRetirements(
            EndpointList list, InetSocketAddress address, double callBegunMillis, double nowMillis) {
        ServiceHistory service = service(address, list, callBegunMillis);
        List<EndpointList.Entry> retirements = new ArrayList<>();
        if (service.hasNewerThan(list)) {
            rememberOlder(list, service);
        } else {
            if (list.snapshot()) {
                retireMissing(list, service, nowMillis).forEach((id, startMillis) -> {
                    if (isRetired(id, startMillis)) {
                        retirements.add(EndpointList.Entry.removed(id, startMillis));
                    }
                });
            }
            rememberRetired(list, service);
            service.remember(list, nowMillis);
        }
        for (EndpointList.Entry entry : list.entries()) {
            Endpoint endpoint = entry.endpoint();
            if (endpoint.status() != EndpointStatus.READY && isRetired(endpoint.id(), endpoint.startedAtMillis())) {
                retirements.add(entry);
            }
        }
        return retirements;
    }

    private ServiceHistory service(InetSocketAddress address, EndpointList list, double callBegunMillis) {
        ServiceHistory known = services.get(address);
        if (known != null && !known.countsAnew(list, callBegunMillis)) {
            return known;
        }
        ServiceHistory service = new ServiceHistory(serviceCount++);
        services.remove(address);
        services.put(address, service);
        if (services.size() > MAX_SERVICES) {
            services.remove(services.keySet().iterator().next());
        }
        return service;
    }

    // A newer list of the service may have taken the drain back.
    private void rememberOlder(EndpointList list, ServiceHistory service) {
        for (EndpointList.Entry entry : list.entries()) {
            Endpoint endpoint = entry.endpoint();
            if (endpoint.status() != EndpointStatus.READY && !ready.containsKey(endpoint.id())) {
                retire(endpoint.id(), endpoint.startedAtMillis(), service, list.version());
            }
        }
    }

    /** Retires the endpoints that a snapshot leaves out and its service must know; returns them with their starts. */
    private Map<String, Double> retireMissing(EndpointList snapshot, ServiceHistory service, double nowMillis) {
        Map<String, Double> missing = new HashMap<>(ready);
        missing.values().removeIf(startMillis -> nowMillis - startMillis < MAX_LAG_MILLIS);
        service.ready().forEach((id, startMillis) -> missing.merge(id, startMillis, Math::max));
        missing.keySet().removeAll(idsOf(snapshot));
        missing.forEach((id, startMillis) -> retire(id, startMillis, service, snapshot.version()));
        return missing;
    }

    private static Set<String> idsOf(EndpointList list) {
        Set<String> ids = new HashSet<>();
        for (EndpointList.Entry entry : list.entries()) {
            ids.add(entry.endpoint().id());
        }
        return ids;
    }

    private void rememberNewest(EndpointList list, ServiceHistory service, double nowMillis) {
        rememberRetired(list, service);
        for (EndpointList.Entry entry : list.entries()) {
            Endpoint endpoint = entry.endpoint();
            if (endpoint.status() == EndpointStatus.READY && mayBecomeReady(endpoint, service, list.version())) {
                retired.remove(endpoint.id());
                ready.put(endpoint.id(), endpoint.startedAtMillis());
            }
        }
        service.remember(list, nowMillis);
    }

    private void rememberRetired(EndpointList list, ServiceHistory service) {
        for (EndpointList.Entry entry : list.entries()) {
            Endpoint endpoint = entry.endpoint();
            if (endpoint.status() != EndpointStatus.READY) {
                // A list need not say since when an endpoint that is gone had run.
                retire(endpoint.id(), service.lastNamedStartMillis(endpoint), service, list.version());
            }
        }
    }

    private boolean mayBecomeReady(Endpoint endpoint, ServiceHistory service, long version) {
        if (!isRetired(endpoint.id(), endpoint.startedAtMillis())) {
            return true;
        }
        Long namedVersion = retired.get(endpoint.id()).namedBy.get(service.number());
        return namedVersion != null && namedVersion < version;
    }

    private boolean isRetired(String id, double startedAtMillis) {
        Retirement retirement = retired.get(id);
        return retirement != null && startedAtMillis <= retirement.startedAtMillis;
    }

    private void retire(String id, double startedAtMillis, ServiceHistory service, long version) {
        Retirement known = retired.get(id);
        boolean ofEarlierStart = startedAtMillis < ready.getOrDefault(id, startedAtMillis)
                || known != null && startedAtMillis < known.startedAtMillis;
        if (ofEarlierStart) {
            return;
        }
        if (known == null || startedAtMillis > known.startedAtMillis) {
            known = new Retirement(startedAtMillis, new HashMap<>());
            retired.put(id, known);
        }
        ready.remove(id);
        known.namedBy.merge(service.number(), version, Math::max);
        if (retired.size() > MAX_RETIRED) {
            retired.remove(retired.keySet().iterator().next());
        }
    }

    private EndpointList withoutRevived(EndpointList list) {
        List<EndpointList.Entry> entries = new ArrayList<>(list.entries().size());
        int kept = 0;
        for (EndpointList.Entry entry : list.entries()) {
            Endpoint endpoint = entry.endpoint();
            boolean revived =
                    endpoint.status() == EndpointStatus.READY && isRetired(endpoint.id(), endpoint.startedAtMillis());
            entries.add(revived ? entry.draining() : entry);
            kept += revived ? 1 : 0;
        }
        if (kept == 0) {
            logged = false;
            return list;
        }
        if (!logged) {
            logged = true;
            log.accept("endpoint list version " + list.version() + " names " + kept
                    + " endpoints as ready that are known to drain or to be gone; they go on draining");
        }
        return new EndpointList(list.version(), list.snapshot(), entries);
    }
}
