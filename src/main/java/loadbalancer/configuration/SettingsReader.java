package loadbalancer.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadReporting;
import loadbalancer.policy.OperatorRules;
import loadbalancer.policy.PolicyLimits;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.Tenant;

/**
 * Reads the policy's settings from pairs of path and value. The simulator's first message and the sidecar's
 * configuration file contain the same settings, so that both are read here. Unknown paths are ignored.
 */
public final class SettingsReader {
    /** Upper bound of every value without a meaningful one, such as times in milliseconds. */
    private static final double MAX_VALUE = 1e12;

    private static final double MAX_INTEGER = 1e9;
    private static final double MIN_TIME_MILLIS = 1e-3;
    private static final double MIN_OVERLOAD_MULTIPLE = 1e-9;
    /** Without tenants there are no quotas that traffic could exceed. */
    private static final double OVER_QUOTA_WEIGHT_WITHOUT_TENANTS = 1;

    private final Map<String, String> valuesByPath;

    /** Reads from these pairs, whose keys are paths such as {@code classes.0.name}. */
    public SettingsReader(Map<String, String> valuesByPath) {
        this.valuesByPath = Map.copyOf(valuesByPath);
    }

    /**
     * Reads the settings.
     *
     * @throws ConfigurationException naming the path that is missing or malformed
     */
    public PolicySettings settings() throws ConfigurationException {
        List<RequestClass> classes = requestClasses();
        List<Tenant> tenants = tenants();
        int sidecarCount = integer("peers_total", 1);
        int ordinal = integer("ordinal", 0);
        if (ordinal >= sidecarCount) {
            throw new ConfigurationException("ordinal", "is not below peers_total");
        }
        LoadReporting reporting = loadReporting();
        boolean polled = endpointListPolled();
        double overQuotaWeight =
                tenants.isEmpty() ? OVER_QUOTA_WEIGHT_WITHOUT_TENANTS : number("over_share_worth", 0, 1);
        return new PolicySettings(
                classes, tenants, overQuotaWeight, limits(), operatorRules(), reporting, polled, sidecarCount, ordinal);
    }

    private List<RequestClass> requestClasses() throws ConfigurationException {
        int count = integer("classes.count", 1);
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            classes.add(requestClass("classes." + i + "."));
        }
        requireUniqueNames("classes", classes.stream().map(RequestClass::name).toList());
        return classes;
    }

    private List<Tenant> tenants() throws ConfigurationException {
        int count = contains("tenants.count") ? integer("tenants.count", 0) : 0;
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            tenants.add(tenant("tenants." + i + "."));
        }
        requireUniqueNames("tenants", tenants.stream().map(Tenant::name).toList());
        return tenants;
    }

    // Requests name their class and tenant, so that the second of two equal names could never be meant.
    private static void requireUniqueNames(String path, List<String> names) throws ConfigurationException {
        if (names.stream().distinct().count() < names.size()) {
            throw new ConfigurationException(path, "has a name twice");
        }
    }

    private Tenant tenant(String prefix) throws ConfigurationException {
        String name = text(prefix + "name");
        double share = number(prefix + "share", 0, 1);
        return new Tenant(name, share, number(prefix + "quota_per_s", 0, MAX_VALUE));
    }

    private LoadReporting loadReporting() throws ConfigurationException {
        return switch (text("reporting.how")) {
            case "off" -> LoadReporting.NONE;
            case "inline" -> LoadReporting.WITH_RESPONSES;
            case "on_probe" -> LoadReporting.WITH_PROBES;
            default -> throw new ConfigurationException("reporting.how", "is not one of off, inline, on_probe");
        };
    }

    private boolean endpointListPolled() throws ConfigurationException {
        return switch (text("discovery")) {
            case "ask" -> true;
            case "push" -> false;
            default -> throw new ConfigurationException("discovery", "is not one of ask, push");
        };
    }

    private RequestClass requestClass(String prefix) throws ConfigurationException {
        Idempotency idempotency = idempotency(prefix + "effect");
        DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
        double deduplicationWindowMillis = 0;
        if (idempotency == Idempotency.WITH_KEY) {
            deduplicationScope = deduplicationScope(prefix + "group");
            deduplicationWindowMillis = number(prefix + "window", 0, MAX_VALUE);
        }
        double latencyObjectiveMillis = number(prefix + "slo", MIN_TIME_MILLIS, MAX_VALUE);
        double deadlineMillis = number(prefix + "deadline", MIN_TIME_MILLIS, MAX_VALUE);
        if (latencyObjectiveMillis > deadlineMillis) {
            throw new ConfigurationException(prefix + "slo", "is over the deadline of its class");
        }
        return new RequestClass(
                text(prefix + "name"),
                number(prefix + "value", 0, MAX_VALUE),
                number(prefix + "late_worth", 0, 1),
                latencyObjectiveMillis,
                deadlineMillis,
                idempotency,
                deduplicationScope,
                deduplicationWindowMillis,
                contains(prefix + "stream") && flag(prefix + "stream"));
    }

    private Idempotency idempotency(String path) throws ConfigurationException {
        return switch (text(path)) {
            case "idempotent" -> Idempotency.IDEMPOTENT;
            case "deduplicated" -> Idempotency.WITH_KEY;
            case "at_most_once" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new ConfigurationException(path, "is not one of idempotent, deduplicated, at_most_once");
        };
    }

    private DeduplicationScope deduplicationScope(String path) throws ConfigurationException {
        return switch (text(path)) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new ConfigurationException(path, "is not one of all, zone, cell");
        };
    }

    private PolicyLimits limits() throws ConfigurationException {
        return new PolicyLimits(
                integer("limits.attempts_cap", 1),
                flag("limits.may_duplicate"),
                flag("limits.cancel"),
                flag("limits.probes"),
                flag("limits.peers"),
                flag("limits.retry_after"),
                number("limits.max_retry_after", 0, MAX_VALUE),
                optionalNumber("costs.probe"));
    }

    private OperatorRules operatorRules() throws ConfigurationException {
        return new OperatorRules(
                number("obligations.drain_grace", 0, MAX_VALUE),
                number("obligations.fall_multiple", MIN_OVERLOAD_MULTIPLE, MAX_VALUE),
                number("obligations.overload_for", MIN_TIME_MILLIS, MAX_VALUE),
                number("obligations.cold_share", 0, 1),
                number("obligations.cold", 0, MAX_VALUE),
                optionalNumber("obligations.ask_within"));
    }

    private boolean contains(String path) {
        return valuesByPath.containsKey(path);
    }

    private String text(String path) throws ConfigurationException {
        String value = valuesByPath.get(path);
        if (value == null) {
            throw new ConfigurationException(path, "is missing");
        }
        return value;
    }

    private boolean flag(String path) throws ConfigurationException {
        return switch (text(path)) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw new ConfigurationException(path, "is neither true nor false");
        };
    }

    private int integer(String path, int min) throws ConfigurationException {
        double value = number(path, min, MAX_INTEGER);
        if (value != Math.rint(value)) {
            throw new ConfigurationException(path, "is not a whole number");
        }
        return (int) value;
    }

    private double optionalNumber(String path) throws ConfigurationException {
        return contains(path) ? number(path, 0, MAX_VALUE) : 0;
    }

    private double number(String path, double min, double max) throws ConfigurationException {
        double value;
        try {
            value = Double.parseDouble(text(path));
        } catch (NumberFormatException e) {
            throw new ConfigurationException(path, "is not a number", e);
        }
        if (!(value >= min && value <= max)) {
            throw new ConfigurationException(path, "is out of range");
        }
        return value;
    }
}
