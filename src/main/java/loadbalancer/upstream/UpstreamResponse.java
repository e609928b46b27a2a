package loadbalancer.upstream;

/**
 * An endpoint's response to an attempt that succeeded.
 *
 * @param body its body; not copied, and not to be modified
 * @param contentType its content type, or null
 */
public record UpstreamResponse(byte[] body, String contentType) {}
