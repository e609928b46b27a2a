package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import loadbalancer.policy.PolicyRequest;
import org.junit.jupiter.api.Test;

class OpenRequestsTest {
    private static final int REQUESTS = 5000;
    /** Distance of ids, so that their low bits are equal. */
    private static final long ID_STEP = 1024;

    private final OpenRequests requests = new OpenRequests();

    private PolicyRequest add(long id) {
        PolicyRequest request = new PolicyRequest(id, 0, -1, 1000, false);
        requests.add(request);
        return request;
    }

    @Test
    void keepsRequestsThatWereNotRemoved() {
        PolicyRequest[] added = new PolicyRequest[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            added[i] = add(i * ID_STEP);
        }
        for (int i = 0; i < REQUESTS; i += 2) {
            OpenRequests.OpenRequest open = requests.get(i * ID_STEP);
            open.complete();
            requests.removeIfSettled(open);
        }
        assertEquals(REQUESTS / 2, requests.size());
        for (int i = 0; i < REQUESTS; i++) {
            OpenRequests.OpenRequest open = requests.get(i * ID_STEP);
            if (i % 2 == 0) {
                assertNull(open);
            } else {
                assertSame(added[i], open.request());
            }
        }
    }

    @Test
    void removesOnlyCompletedRequestWithoutPendingOutcome() {
        add(7);
        OpenRequests.OpenRequest open = requests.get(7);
        requests.removeIfSettled(open);
        assertSame(open, requests.get(7));
        open.attemptForwarded();
        open.complete();
        requests.removeIfSettled(open);
        assertSame(open, requests.get(7));
        open.attemptEnded();
        requests.removeIfSettled(open);
        assertNull(requests.get(7));
    }
}
