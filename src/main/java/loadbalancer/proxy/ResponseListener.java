package loadbalancer.proxy;

import loadbalancer.upstream.UpstreamResponse;

/** Receives the one final response to a request. Exactly one of its methods is called, once, on the event loop. */
public interface ResponseListener {
    /** An endpoint answered the request. */
    void succeeded(UpstreamResponse response);

    /** The request was not executed; a retry after this time, or at any time if it is 0, does no harm. */
    void rejected(double retryAfterMillis);

    /** The request failed, with no promise about effects. */
    void failed();
}
