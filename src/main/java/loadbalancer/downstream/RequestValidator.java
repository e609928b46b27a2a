package loadbalancer.downstream;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.protocol.Decimals;
import loadbalancer.protocol.HeaderNames;
import loadbalancer.protocol.ProtocolLimits;
import loadbalancer.proxy.ClientRequest;

/**
 * Validates the head of a client's request, before its body is read. What is forwarded is made anew from the
 * validated fields alone, so that nothing else of a client's reaches the policy or an endpoint.
 */
final class RequestValidator {
    private static final String API_PATH = "/api";
    private static final List<CharSequence> SINGLE_VALUED_HEADERS = List.of(
            HeaderNames.REQUEST_ID,
            HeaderNames.REQUEST_CLASS,
            HeaderNames.REQUEST_TIMEOUT,
            HeaderNames.IDEMPOTENCY_KEY,
            HeaderNames.TENANT,
            HeaderNames.CLIENT_RETRY,
            HttpHeaderNames.HOST,
            HttpHeaderNames.CONTENT_LENGTH,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.CONTENT_TYPE);
    /** Ids and keys of clients are shorter; they are stored and forwarded. */
    private static final int MAX_IDENTIFIER_LENGTH = 256;
    /** An hour: no client waits longer, and timers far in the future would only accumulate. */
    private static final double MAX_TIMEOUT_SECONDS = 3600;

    private static final double MILLIS_PER_SECOND = 1000;
    private static final int UNKNOWN_TENANT = -1;

    private final List<RequestClass> classes;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> tenantIndexes = new HashMap<>();

    /** A validator by the classes and tenants of these settings. */
    RequestValidator(PolicySettings settings) {
        this.classes = settings.classes();
        for (int i = 0; i < classes.size(); i++) {
            classIndexes.put(classes.get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenantIndexes.put(settings.tenants().get(i).name(), i);
        }
    }

    /** The path of a request, without its query. */
    static String path(HttpRequest request) {
        int query = request.uri().indexOf('?');
        return query < 0 ? request.uri() : request.uri().substring(0, query);
    }

    /**
     * Checks that every reader finds the end of the request in the same place. A second request could otherwise be
     * smuggled in its body.
     */
    static void validateFraming(HttpRequest request) throws RejectedRequestException {
        HttpHeaders headers = request.headers();
        for (CharSequence name : SINGLE_VALUED_HEADERS) {
            require(headers.getAll(name).size() <= 1);
        }
        HttpVersion version = request.protocolVersion();
        String encoding = headers.get(HttpHeaderNames.TRANSFER_ENCODING);
        require(encoding == null
                || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encoding) && version.minorVersion() > 0);
        require(version.majorVersion() == 1 && isVisibleAscii(request.uri(), Integer.MAX_VALUE));
        if (HttpUtil.getContentLength(request, 0L) > ProtocolLimits.MAX_BODY_BYTES) {
            throw new RejectedRequestException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
    }

    /** The request, if its path is the application's and its headers are valid. */
    ClientRequest validate(HttpRequest request) throws RejectedRequestException {
        if (!path(request).equals(API_PATH)) {
            throw new RejectedRequestException(HttpResponseStatus.NOT_FOUND);
        }
        HttpHeaders headers = request.headers();
        int classIndex = classIndex(headers);
        RequestClass requestClass = classes.get(classIndex);
        String id = requestId(headers);
        HttpMethod method = method(request, requestClass);
        String idempotencyKey = idempotencyKey(headers, requestClass);
        return new ClientRequest(
                id,
                classIndex,
                tenantIndexes.getOrDefault(headers.get(HeaderNames.TENANT, ""), UNKNOWN_TENANT),
                timeoutMillis(headers, requestClass),
                "1".equals(headers.get(HeaderNames.CLIENT_RETRY)),
                method,
                request.uri(),
                forwardedHeaders(headers, id, idempotencyKey));
    }

    private int classIndex(HttpHeaders headers) throws RejectedRequestException {
        Integer index = classIndexes.get(headers.get(HeaderNames.REQUEST_CLASS, ""));
        if (index == null) {
            throw new RejectedRequestException(HttpResponseStatus.BAD_REQUEST);
        }
        return index;
    }

    private static String requestId(HttpHeaders headers) throws RejectedRequestException {
        String id = headers.get(HeaderNames.REQUEST_ID, "");
        require(isVisibleAscii(id, MAX_IDENTIFIER_LENGTH));
        return id;
    }

    private static HttpMethod method(HttpRequest request, RequestClass requestClass) throws RejectedRequestException {
        HttpMethod expected = requestClass.idempotency() == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        if (!request.method().equals(expected)) {
            throw new RejectedRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        return expected;
    }

    /** The idempotency key, or null if there is none and the class needs none. */
    private static String idempotencyKey(HttpHeaders headers, RequestClass requestClass)
            throws RejectedRequestException {
        String key = headers.get(HeaderNames.IDEMPOTENCY_KEY);
        if (key == null) {
            require(requestClass.idempotency() != Idempotency.WITH_KEY);
        } else {
            require(isVisibleAscii(key, MAX_IDENTIFIER_LENGTH));
        }
        return key;
    }

    private static double timeoutMillis(HttpHeaders headers, RequestClass requestClass)
            throws RejectedRequestException {
        String seconds = headers.get(HeaderNames.REQUEST_TIMEOUT);
        double timeoutMillis = seconds == null
                ? requestClass.deadlineMillis()
                : Decimals.parse(seconds, MAX_TIMEOUT_SECONDS) * MILLIS_PER_SECOND;
        // False also for NaN, which stands for a malformed number.
        require(timeoutMillis > 0);
        return timeoutMillis;
    }

    private static HttpHeaders forwardedHeaders(HttpHeaders received, String id, String idempotencyKey) {
        HttpHeaders headers = new DefaultHttpHeaders();
        // Endpoints require a host; a client of HTTP/1.0 may send none.
        headers.set(HttpHeaderNames.HOST, received.get(HttpHeaderNames.HOST, ""));
        headers.set(HeaderNames.REQUEST_ID, id);
        headers.set(HeaderNames.REQUEST_CLASS, received.get(HeaderNames.REQUEST_CLASS));
        if (idempotencyKey != null) {
            headers.set(HeaderNames.IDEMPOTENCY_KEY, idempotencyKey);
        }
        String contentType = received.get(HttpHeaderNames.CONTENT_TYPE);
        if (contentType != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        return headers;
    }

    // ASCII without blanks and control characters, which endpoints might read differently.
    private static boolean isVisibleAscii(String text, int maxLength) {
        return !text.isEmpty() && text.length() <= maxLength && text.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }

    private static void require(boolean valid) throws RejectedRequestException {
        if (!valid) {
            throw new RejectedRequestException(HttpResponseStatus.BAD_REQUEST);
        }
    }
}
