package loadbalancer.simulator;

import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import loadbalancer.policy.PolicyRequest;

/** The requests of an instance that are not completed, or have attempts whose outcome is to come. */
final class OpenRequests {
    private static final int INITIAL_CAPACITY = 1024;

    /** A request and what has to happen before it can be removed. */
    static final class OpenRequest {
        private final PolicyRequest request;
        private int pendingOutcomes;
        private boolean completed;

        private OpenRequest(PolicyRequest request) {
            this.request = request;
        }

        PolicyRequest request() {
            return request;
        }

        /** An attempt was forwarded, whose outcome will come. */
        void attemptForwarded() {
            pendingOutcomes++;
        }

        /** The outcome of an attempt came. */
        void attemptEnded() {
            pendingOutcomes--;
        }

        /** The client has its final response, or needs none. */
        void complete() {
            completed = true;
        }
    }

    private final LongObjectMap<OpenRequest> requests = new LongObjectHashMap<>(INITIAL_CAPACITY);

    void add(PolicyRequest request) {
        requests.put(request.id(), new OpenRequest(request));
    }

    /** Returns the request of this id, or null. */
    OpenRequest get(long id) {
        return requests.get(id);
    }

    /** Removes a request that is completed and has no outcome to come. */
    void removeIfSettled(OpenRequest open) {
        if (open.completed && open.pendingOutcomes == 0) {
            requests.remove(open.request.id());
        }
    }

    int size() {
        return requests.size();
    }
}
