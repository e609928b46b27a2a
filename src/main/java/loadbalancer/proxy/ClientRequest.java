package loadbalancer.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import loadbalancer.protocol.LimitedHeadersFactory;

/**
 * The validated head of a client's request.
 *
 * @param id its identifier, which no other request in flight has
 * @param classIndex position of its class in the settings
 * @param tenantIndex position of its tenant in the settings, or -1
 * @param timeoutMillis how long the client waits
 * @param clientRetry true if the client says that this is a retry
 * @param headers what endpoints receive, except for the timeout and the length of the body
 */
public record ClientRequest(
        String id,
        int classIndex,
        int tenantIndex,
        double timeoutMillis,
        boolean clientRetry,
        HttpMethod method,
        String uri,
        HttpHeaders headers) {
    /** Returns what it takes in the heap, an estimate in bytes. */
    public long heapBytes() {
        return (long) id.length() + uri.length() + LimitedHeadersFactory.heapBytes(headers);
    }
}
