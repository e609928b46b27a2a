package loadbalancer.policy;

import java.util.List;

/** Builds a policy's settings for a test, which names only what it needs to be different. */
final class SettingsBuilder {
    private static final OperatorRules DEFAULT_RULES = new OperatorRules(1000, 3, 1000, 0.2, 20_000, 10_000);

    private final List<RequestClass> classes;
    private List<Tenant> tenants = List.of();
    private double overQuotaWeight = 1;
    private int maxAttempts = 5;
    private boolean hedging;
    private double maxRetryAfterMillis = 2000;
    private double probeCost;
    private OperatorRules rules = DEFAULT_RULES;
    private LoadReporting reporting = LoadReporting.NONE;
    private boolean endpointListPolled = true;
    private int sidecarCount = 4;
    private int ordinal;

    private SettingsBuilder(List<RequestClass> classes) {
        this.classes = classes;
    }

    /** Settings for these classes: four sidecars, no tenants, no load reports, a polled endpoint list. */
    static SettingsBuilder forClasses(RequestClass... classes) {
        return new SettingsBuilder(List.of(classes));
    }

    SettingsBuilder tenants(double weightOverQuota, Tenant... quotas) {
        overQuotaWeight = weightOverQuota;
        tenants = List.of(quotas);
        return this;
    }

    SettingsBuilder maxAttempts(int attempts) {
        maxAttempts = attempts;
        return this;
    }

    SettingsBuilder hedging(boolean allowed) {
        hedging = allowed;
        return this;
    }

    SettingsBuilder maxRetryAfterMillis(double millis) {
        maxRetryAfterMillis = millis;
        return this;
    }

    SettingsBuilder rules(OperatorRules operatorRules) {
        rules = operatorRules;
        return this;
    }

    /** Sets the time after the last poll from which a sidecar counts as notified, and keeps the other rules. */
    SettingsBuilder pollDeadlineMillis(double millis) {
        rules = new OperatorRules(
                rules.drainGraceMillis(),
                rules.overloadMultiple(),
                rules.overloadWindowMillis(),
                rules.slowStartInitialFraction(),
                rules.slowStartMillis(),
                millis);
        return this;
    }

    /** Sets for how long a draining endpoint may still be used, and keeps the other rules. */
    SettingsBuilder drainGraceMillis(double millis) {
        rules = new OperatorRules(
                millis,
                rules.overloadMultiple(),
                rules.overloadWindowMillis(),
                rules.slowStartInitialFraction(),
                rules.slowStartMillis(),
                rules.pollDeadlineMillis());
        return this;
    }

    SettingsBuilder reporting(LoadReporting loadReporting) {
        reporting = loadReporting;
        return this;
    }

    SettingsBuilder probeCost(double requests) {
        probeCost = requests;
        return this;
    }

    /** The endpoint list is pushed to the sidecar, which polls nothing. */
    SettingsBuilder endpointListPushed() {
        endpointListPolled = false;
        return this;
    }

    SettingsBuilder sidecars(int count) {
        sidecarCount = count;
        return this;
    }

    SettingsBuilder ordinal(int number) {
        ordinal = number;
        return this;
    }

    PolicySettings build() {
        boolean probes = reporting == LoadReporting.WITH_PROBES;
        PolicyLimits limits =
                new PolicyLimits(maxAttempts, hedging, true, probes, false, true, maxRetryAfterMillis, probeCost);
        return new PolicySettings(
                classes, tenants, overQuotaWeight, limits, rules, reporting, endpointListPolled, sidecarCount, ordinal);
    }
}
