package loadbalancer.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Decodes the JSON objects in the bytes of one watch. An object is complete when its JSON is: it may be indented,
 * arrive in any number of pieces, or together with others.
 */
final class EndpointListDecoder {
    /** The largest object that is accepted, in bytes: some thousand endpoints. A larger one may never end. */
    static final int MAX_OBJECT_BYTES = 1 << 20;

    /** Receives each object as soon as it is complete. */
    interface ObjectListener {
        /** @throws EndpointListException if the object is no endpoint list */
        void objectReceived(JsonNode object) throws EndpointListException;
    }

    private final ObjectMapper mapper;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    /** The tokens of an object that is not complete, or null between two objects. */
    private TokenBuffer partialObject;

    private int depth;
    private int partialBytes;

    EndpointListDecoder(ObjectMapper mapper) {
        this.mapper = mapper;
        try {
            this.parser = mapper.getFactory().createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Decodes the next bytes and passes on the objects that they complete.
     *
     * @return true if the bytes show that the service is alive: they complete an object, or end in an empty line
     *     between two. Pieces of an object alone do not.
     * @throws EndpointListException if the bytes are not JSON objects, or an object is too large or no endpoint list
     */
    boolean decode(ByteBuf bytes, ObjectListener listener) throws EndpointListException {
        byte[] input = ByteBufUtil.getBytes(bytes);
        if (input.length == 0) {
            return false;
        }
        partialBytes += input.length;
        if (partialBytes > MAX_OBJECT_BYTES) {
            throw new EndpointListException("an object of over " + MAX_OBJECT_BYTES + " bytes");
        }
        boolean alive;
        try {
            alive = parse(input, listener);
        } catch (IOException e) {
            throw new EndpointListException(e.getMessage(), e);
        }
        if (partialObject == null) {
            partialBytes = 0;
            alive |= input[input.length - 1] == '\n';
        }
        return alive;
    }

    /** Returns true if the input completes an object. */
    private boolean parse(byte[] input, ObjectListener listener) throws IOException, EndpointListException {
        boolean completed = false;
        feeder.feedInput(input, 0, input.length);
        JsonToken token = parser.nextToken();
        while (token != JsonToken.NOT_AVAILABLE) {
            append(token);
            if (depth == 0) {
                JsonNode object = mapper.readTree(partialObject.asParser(mapper));
                partialObject = null;
                completed = true;
                listener.objectReceived(object);
            }
            token = parser.nextToken();
        }
        return completed;
    }

    private void append(JsonToken token) throws IOException, EndpointListException {
        if (partialObject == null) {
            if (token != JsonToken.START_OBJECT) {
                throw new EndpointListException("not an object");
            }
            partialObject = new TokenBuffer(parser);
        }
        partialObject.copyCurrentEvent(parser);
        if (token.isStructStart()) {
            depth++;
        } else if (token.isStructEnd()) {
            depth--;
        }
    }
}
