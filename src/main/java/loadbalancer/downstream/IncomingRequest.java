package loadbalancer.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.memory.MemoryHolding;
import loadbalancer.memory.MemoryLimitException;
import loadbalancer.memory.MemoryUse;
import loadbalancer.protocol.BodyBuffer;
import loadbalancer.protocol.LimitedHeadersFactory;
import loadbalancer.proxy.ClientRequest;
import loadbalancer.proxy.RequestBody;

/**
 * The request that a client connection is receiving or has received: what of its validated head is needed, its body so
 * far, and the memory that both take.
 */
final class IncomingRequest implements LimitedHeadersFactory.FieldListener {
    private static final String READINESS_PATH = "/health/ready";
    /** What a pending request takes besides its head and body: its state in the policy, attempts and timers. */
    private static final long PENDING_REQUEST_BYTES = 3072;

    private final MemoryBudget budget;
    private final MemoryHolding headMemory;
    private final BodyBuffer body;
    private HttpMethod method;
    private boolean keepAlive;
    private ClientRequest clientRequest;

    /** A request of which nothing has been received. */
    IncomingRequest(MemoryBudget budget) {
        this.budget = budget;
        this.headMemory = budget.newHolding(MemoryUse.REQUEST_HEADS);
        this.body = new BodyBuffer(budget.newHolding(MemoryUse.REQUEST_BODIES));
    }

    /** Accounts for a part of a head or of trailers that is about to be kept. */
    @Override
    public void fieldAdded(int heapBytes) {
        if (!headMemory.tryGrow(heapBytes)) {
            throw new MemoryLimitException(MemoryUse.REQUEST_HEADS);
        }
    }

    /** Takes the head of a request, if it is valid. */
    void begin(HttpRequest request, RequestValidator validator) throws RejectedRequestException {
        method = request.method();
        keepAlive = HttpUtil.isKeepAlive(request);
        body.clear();
        RequestValidator.validateFraming(request);
        boolean readinessCheck = RequestValidator.path(request).equals(READINESS_PATH);
        clientRequest = readinessCheck ? null : validator.validate(request);
    }

    /** Takes a part of the body, if the body is not too long with it and there is memory for it. */
    void append(ByteBuf bytes) throws RejectedRequestException {
        BodyBuffer.Result result = body.add(bytes);
        if (result == BodyBuffer.Result.TOO_LONG) {
            throw new RejectedRequestException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        if (result == BodyBuffer.Result.NO_MEMORY) {
            throw new RejectedRequestException(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /** True if the request asks for readiness and is no request of the application. */
    boolean isReadinessCheck() {
        return clientRequest == null;
    }

    /** The method of the request. */
    HttpMethod method() {
        return method;
    }

    /** True if the client can use its connection for a further request. */
    boolean isKeepAlive() {
        return keepAlive;
    }

    /** The request of the application; null for a readiness check. */
    ClientRequest clientRequest() {
        return clientRequest;
    }

    /** Hands over the body, with the memory that the request takes while it is pending. */
    RequestBody takeBody() {
        byte[] bytes = body.take();
        headMemory.release();
        MemoryHolding memory = budget.newHolding(MemoryUse.PENDING_REQUESTS);
        memory.resize(PENDING_REQUEST_BYTES + clientRequest.heapBytes() + bytes.length);
        return new RequestBody(bytes, memory);
    }

    /** Lets go of the body of a request that is not taken. */
    void dropBody() {
        body.clear();
    }

    /** Lets go of everything, once the request has been answered or its connection has been closed. */
    void clear() {
        clientRequest = null;
        headMemory.release();
        body.clear();
    }
}
