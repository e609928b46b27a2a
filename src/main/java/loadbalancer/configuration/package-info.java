/**
 * The configuration of a sidecar: parsed, validated and handed out as immutable records.
 *
 * <p>The package owns no state. {@code lifecycle} reads the configuration file with it at start and on reload, and
 * {@code simulator} reads the settings of each simulated sidecar with the same {@code SettingsReader}.
 */
package loadbalancer.configuration;
