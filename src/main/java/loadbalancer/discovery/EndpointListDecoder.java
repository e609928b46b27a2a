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
import loadbalancer.memory.MemoryHolding;

/**
 * Decodes the JSON objects in the bytes of one watch. An object is complete when its JSON is: it may be indented,
 * arrive in any number of pieces, or together with others.
 */
final class EndpointListDecoder {
    /** The largest object that is accepted, in bytes: some thousand endpoints. A larger one may never end. */
    static final int MAX_OBJECT_BYTES = 1 << 20;

    /** What a byte of an object takes in the heap until the object is complete: strings and numbers of a few bytes. */
    private static final int HEAP_BYTES_PER_BYTE = 8;

    /** The most JSON tokens of an object: an endpoint takes some twenty, in 145 bytes; a parsed node takes 80 bytes. */
    static final int MAX_OBJECT_TOKENS = 160_000;

    /** The bytes end within a line. */
    static final int NO_LINE_END = -1;

    /** Receives each object as soon as it is complete. */
    interface ObjectListener {
        /** @throws EndpointListException if the object is no endpoint list */
        void objectReceived(JsonNode object) throws EndpointListException;
    }

    private final ObjectMapper mapper;
    private final MemoryHolding memory;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    /** The tokens of an object that is not complete, or null between two objects. */
    private TokenBuffer partialObject;

    /** True if the line that the bytes so far end in holds an object. */
    private boolean objectOnLine;

    private int depth;
    private int partialTokens;
    private int partialBytes;

    /** A decoder of one watch, whose incomplete object is part of this holding. */
    EndpointListDecoder(ObjectMapper mapper, MemoryHolding memory) {
        this.mapper = mapper;
        this.memory = memory;
        try {
            this.parser = mapper.getFactory().createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Lets go of an object that will not be completed. */
    void release() {
        partialObject = null;
        memory.release();
    }

    /**
     * Decodes the next bytes and passes on the objects that they complete.
     *
     * @return the number of empty lines behind the last object; {@link #NO_LINE_END} if the bytes end within a line or
     *     an object
     * @throws EndpointListException if the bytes are not JSON objects, or an object is too large or no endpoint list
     */
    int decode(ByteBuf bytes, ObjectListener listener) throws EndpointListException {
        byte[] input = ByteBufUtil.getBytes(bytes);
        if (input.length == 0) {
            return NO_LINE_END;
        }
        partialBytes += input.length;
        if (partialBytes > MAX_OBJECT_BYTES) {
            throw new EndpointListException("an object of over " + MAX_OBJECT_BYTES + " bytes");
        }
        if (!memory.tryGrow((long) HEAP_BYTES_PER_BYTE * input.length)) {
            throw new EndpointListException("no memory left for an object of " + partialBytes + " bytes so far");
        }
        try {
            parse(input, listener);
        } catch (IOException e) {
            throw new EndpointListException(e.getMessage(), e);
        }
        if (partialObject != null) {
            return NO_LINE_END;
        }
        partialBytes = 0;
        memory.release();
        return countEmptyLines(input);
    }

    // The first line end behind an object ends the object's own line.
    private int countEmptyLines(byte[] input) {
        int lineEnds = 0;
        int index = input.length - 1;
        while (index >= 0 && Character.isWhitespace(input[index])) {
            if (input[index] == '\n') {
                lineEnds++;
            }
            index--;
        }
        objectOnLine |= index >= 0;
        if (lineEnds == 0 || input[input.length - 1] != '\n') {
            return NO_LINE_END;
        }
        int emptyLines = objectOnLine ? lineEnds - 1 : lineEnds;
        objectOnLine = false;
        return emptyLines;
    }

    private void parse(byte[] input, ObjectListener listener) throws IOException, EndpointListException {
        feeder.feedInput(input, 0, input.length);
        JsonToken token = parser.nextToken();
        while (token != JsonToken.NOT_AVAILABLE) {
            append(token);
            if (depth == 0) {
                JsonNode object = mapper.readTree(partialObject.asParser(mapper));
                partialObject = null;
                listener.objectReceived(object);
            }
            token = parser.nextToken();
        }
    }

    private void append(JsonToken token) throws IOException, EndpointListException {
        if (partialObject == null) {
            if (token != JsonToken.START_OBJECT) {
                throw new EndpointListException("not an object");
            }
            partialObject = new TokenBuffer(parser);
            partialTokens = 0;
        }
        partialTokens++;
        if (partialTokens > MAX_OBJECT_TOKENS) {
            throw new EndpointListException("an object of over " + MAX_OBJECT_TOKENS + " tokens");
        }
        partialObject.copyCurrentEvent(parser);
        if (token.isStructStart()) {
            depth++;
        } else if (token.isStructEnd()) {
            depth--;
        }
    }
}
