import java.util.ArrayList;
import java.util.List;

/** The settings of a small deployment, as a site has them. */
final class Settings {
    int sidecars = 1;
    private String discovery = "ask";
    private String limits = "\"attempts_cap\":4,\"cancel\":true,\"conn_idle\":60000,\"connect_timeout\":250,"
            + "\"may_duplicate\":true,\"max_retry_after\":2000";
    private String zones = "\"hki-1\",\"oulu-1\"";
    private String kinds = "\"gen2\",\"gen1\"";
    private String tenants = "{\"name\":\"rantamuseo\",\"share\":0.6,\"quota_per_s\":1000},"
            + "{\"name\":\"kivilinna\",\"share\":0.4,\"quota_per_s\":1000}";
    private int drainGrace = 500;
    private double overShareWorth = 0.1;
    private final List<String> classes = new ArrayList<>();

    /** Those of guide-prod-fi. */
    static Settings site() {
        return new Settings()
                .with("stop-info", "idempotent", "all", 1000, 2000, 1, 5000)
                .with("track-fetch", "idempotent", "all", 2000, 4000, 3, 5000)
                .with("code-redeem", "deduplicated", "cell", 800, 2000, 3, 10000)
                .with("listen-log", "deduplicated", "cell", 1500, 6000, 2, 12000);
    }

    /** Those of ward-rota, whose lists are pushed. */
    static Settings wardRota() {
        Settings settings = new Settings()
                .with("rota-view", "idempotent", "all", 500, 900, 2, 5000)
                .with("shift-swap", "at_most_once", "all", 700, 1400, 7, 5000)
                .with("presence", "deduplicated", "all", 400, 800, 1, 3000);
        settings.discovery = "push";
        settings.drainGrace = 800;
        settings.overShareWorth = 0.4;
        settings.limits = "\"attempts_cap\":2,\"cancel\":false,\"conn_idle\":12000,\"connect_timeout\":120,"
                + "\"may_duplicate\":false,\"max_retry_after\":600";
        settings.zones = "\"north\",\"mid\",\"south\"";
        settings.kinds = "\"m-large\",\"m-small\"";
        settings.tenants = "{\"name\":\"east-wing\",\"share\":0.7,\"quota_per_s\":1000},"
                + "{\"name\":\"west-wing\",\"share\":0.3,\"quota_per_s\":1000}";
        return settings;
    }

    private Settings with(String name, String effect, String group, int slo, int deadline, int value, int window) {
        classes.add("{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"" + group + "\",\"slo\":" + slo
                + ",\"deadline\":" + deadline + ",\"value\":" + value + ",\"late_worth\":0,\"stream\":false,\"window\":"
                + window + "}");
        return this;
    }

    String json() {
        return "{\"classes\":[" + String.join(",", classes) + "],\"clients\":{\"marks_retry\":true},"
                + "\"counted_by\":\"request\",\"discovery\":\"" + discovery + "\",\"failure_domains\":[" + zones + "],"
                + "\"family\":\"mesh\",\"limits\":{" + limits + ",\"max_streams\":1,\"open_cap\":28400,\"peers\":false,"
                + "\"probes\":false,\"retry_after\":true,\"cpu_us_per_request\":10,\"cpu_us_per_s\":11360},"
                + "\"machine_types\":[" + kinds + "],\"obligations\":{\"answer_slack\":20,\"ask_within\":10000,"
                + "\"cold\":8900,\"cold_share\":0.33,\"drain_grace\":" + drainGrace
                + ",\"fall_multiple\":4,\"overload_for\":2000},\"ordinal\":0,\"over_share_worth\":" + overShareWorth
                + ",\"peers_total\":" + sidecars + ",\"reporting\":{\"how\":\"off\",\"fields\":[]},\"tenants\":[" + tenants
                + "],\"tick\":5,\"tier\":0,\"tiers\":[\"guide-api\"],\"weights\":\"nominal\",\"zone\":"
                + zones.substring(0, zones.indexOf(',')) + "}";
    }
}
