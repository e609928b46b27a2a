package loadbalancer.lifecycle;

/** The request classes of the {@link ClassArchiveTraining}: one for each kind of idempotency. */
enum TrainingRequestClass {
    /** Requests that may be repeated. */
    IDEMPOTENT("idempotent"),
    /** Requests that must not be repeated once an endpoint may have executed them. */
    AT_MOST_ONCE("at_most_once"),
    /** Requests that carry an idempotency key. */
    DEDUPLICATED("deduplicated");

    private static final TrainingRequestClass[] ALL = values();

    private final String key;

    TrainingRequestClass(String key) {
        this.key = key;
    }

    /** Returns the kind's name in the configuration, which is also the name of the class. */
    String key() {
        return key;
    }

    /** Returns the class of the request with this number, so that all classes take turns. */
    static TrainingRequestClass ofRequest(int number) {
        return ALL[number % ALL.length];
    }
}
