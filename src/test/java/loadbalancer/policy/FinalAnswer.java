package loadbalancer.policy;

/** How a request of a test ended for its client. */
enum FinalAnswer {
    /** The policy rejected it. */
    REJECTED,
    /** The policy failed it. */
    FAILED,
    /** An attempt succeeded; noted by the test, since the policy gives no answer then. */
    SERVED,
    /** The client disconnected; noted by the test. */
    CLIENT_GONE
}
