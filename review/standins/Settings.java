import java.util.ArrayList;
import java.util.List;

/** The settings of a small deployment, as the site of the first customer has them. */
final class Settings {
    int sidecars = 1;
    String discovery = "ask";
    int connectTimeout = 250;
    int drainGrace = 500;
    int askWithin = 10000;
    double coldShare = 0.33;
    int cold = 8900;
    private final List<String> classes = new ArrayList<>();

    /** The four classes of the site. */
    static Settings site() {
        return new Settings()
                .with("stop-info", "idempotent", "all", 1000, 2000, 1, 5000)
                .with("track-fetch", "idempotent", "all", 2000, 4000, 3, 5000)
                .with("code-redeem", "deduplicated", "cell", 800, 2000, 3, 10000)
                .with("listen-log", "deduplicated", "cell", 1500, 6000, 2, 12000);
    }

    Settings with(String name, String effect, String group, int slo, int deadline, int value, int window) {
        classes.add("{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"" + group + "\",\"slo\":" + slo
                + ",\"deadline\":" + deadline + ",\"value\":" + value + ",\"late_worth\":0,\"stream\":false,\"window\":"
                + window + "}");
        return this;
    }

    String json() {
        return "{\"classes\":[" + String.join(",", classes) + "],\"clients\":{\"marks_retry\":true},"
                + "\"counted_by\":\"request\",\"discovery\":\"" + discovery + "\",\"failure_domains\":[\"hki-1\",\"oulu-1\"],"
                + "\"family\":\"mesh\",\"limits\":{\"attempts_cap\":4,\"cancel\":true,\"conn_idle\":60000,"
                + "\"connect_timeout\":" + connectTimeout + ",\"may_duplicate\":true,\"max_retry_after\":2000,"
                + "\"max_streams\":1,\"open_cap\":28400,\"peers\":false,\"probes\":false,\"retry_after\":true,"
                + "\"cpu_us_per_request\":10,\"cpu_us_per_s\":11360},\"machine_types\":[\"gen2\",\"gen1\"],"
                + "\"obligations\":{\"answer_slack\":20,\"ask_within\":" + askWithin + ",\"cold\":" + cold
                + ",\"cold_share\":" + coldShare + ",\"drain_grace\":" + drainGrace
                + ",\"fall_multiple\":4,\"overload_for\":2000},\"ordinal\":0,\"over_share_worth\":0.1,"
                + "\"peers_total\":" + sidecars + ",\"reporting\":{\"how\":\"off\",\"fields\":[]},"
                + "\"tenants\":[{\"name\":\"rantamuseo\",\"share\":0.6,\"quota_per_s\":1000},"
                + "{\"name\":\"kivilinna\",\"share\":0.4,\"quota_per_s\":1000}],\"tick\":5,\"tier\":0,"
                + "\"tiers\":[\"guide-api\"],\"weights\":\"nominal\",\"zone\":\"hki-1\"}";
    }
}
