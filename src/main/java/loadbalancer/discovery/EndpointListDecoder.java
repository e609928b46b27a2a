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
import java.util.function.Consumer;

/**
 * The objects in the bytes of one watch. An object is complete when its JSON is: it may be indented, come in any
 * number of pieces, or together with others.
 */
final class EndpointListDecoder {
    /** The bytes of one object at most: some thousand endpoints; more is not meant to end. */
    static final int MAX_OBJECT_BYTES = 1 << 20;

    private final ObjectMapper mapper;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private TokenBuffer object;
    private int depth;
    private int size;

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
     * Takes in the next bytes and passes on the objects that they complete. True if they show that the other side
     * is alive: an object is complete, or an empty line came between two. Pieces alone show nothing.
     *
     * @throws IOException if these bytes are not JSON objects, or one is too large
     */
    boolean read(ByteBuf bytes, Consumer<JsonNode> complete) throws IOException {
        byte[] in = ByteBufUtil.getBytes(bytes);
        if (in.length == 0) {
            return false;
        }
        size += in.length;
        if (size > MAX_OBJECT_BYTES) {
            throw new IOException("an object of over " + MAX_OBJECT_BYTES + " bytes");
        }
        boolean alive = false;
        feeder.feedInput(in, 0, in.length);
        for (JsonToken t = parser.nextToken(); t != JsonToken.NOT_AVAILABLE; t = parser.nextToken()) {
            take(t);
            if (depth == 0) {
                JsonNode node = mapper.readTree(object.asParser(mapper));
                object = null;
                alive = true;
                complete.accept(node);
            }
        }
        if (object == null) {
            size = 0;
            alive |= in[in.length - 1] == '\n';
        }
        return alive;
    }

    private void take(JsonToken token) throws IOException {
        if (object == null) {
            if (token != JsonToken.START_OBJECT) {
                throw new IOException("not an object");
            }
            object = new TokenBuffer(parser);
        }
        object.copyCurrentEvent(parser);
        depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
    }
}
