package loadbalancer.protocol;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.Map;

/**
 * Makes the headers and trailers of received messages, with a bound on their fields: a field of four bytes on the wire
 * takes forty times as many in the heap, so that a bound on the bytes alone is none on the memory.
 */
public final class LimitedHeadersFactory implements HttpHeadersFactory {
    /** The most fields of a head or of trailers. */
    public static final int MAX_FIELDS = 100;

    /** What a field takes in the heap beside its name and value: an entry, two strings and their arrays, in bytes. */
    private static final int FIELD_OVERHEAD_BYTES = 168;

    /** Is told of each field before it is kept. */
    @FunctionalInterface
    public interface FieldListener {
        /**
         * A field is about to be kept.
         *
         * @param heapBytes what it takes in the heap, an estimate
         * @throws IllegalArgumentException if it must not be kept, which makes the message invalid
         */
        void fieldAdded(int heapBytes);
    }

    /** The head or the trailers of a message have more fields than allowed. */
    public static final class TooManyFieldsException extends IllegalArgumentException {
        private static final long serialVersionUID = 1;

        private TooManyFieldsException() {
            super("more than " + MAX_FIELDS + " fields");
        }
    }

    private final FieldListener listener;

    /** A factory whose headers report each field to this listener. */
    public LimitedHeadersFactory(FieldListener listener) {
        this.listener = listener;
    }

    /** Returns the configuration of a decoder whose messages have limited headers and trailers. */
    public static HttpDecoderConfig decoderConfig(FieldListener listener) {
        LimitedHeadersFactory factory = new LimitedHeadersFactory(listener);
        return new HttpDecoderConfig().setHeadersFactory(factory).setTrailersFactory(factory);
    }

    /** Returns the configuration of a decoder whose messages have limited headers that nobody is told of. */
    public static HttpDecoderConfig decoderConfig() {
        return decoderConfig(heapBytes -> {});
    }

    /** Returns what these headers take in the heap, an estimate in bytes. */
    public static int heapBytes(HttpHeaders headers) {
        int sum = 0;
        for (Map.Entry<String, String> field : headers) {
            sum += FIELD_OVERHEAD_BYTES
                    + field.getKey().length()
                    + field.getValue().length();
        }
        return sum;
    }

    @Override
    public HttpHeaders newHeaders() {
        return new LimitedHeaders(listener);
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return newHeaders();
    }

    /** Headers that count what a decoder adds. */
    private static final class LimitedHeaders extends DefaultHttpHeaders {
        private final FieldListener listener;
        private int fields;

        private LimitedHeaders(FieldListener listener) {
            this.listener = listener;
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            fields++;
            if (fields > MAX_FIELDS) {
                throw new TooManyFieldsException();
            }
            listener.fieldAdded(FIELD_OVERHEAD_BYTES + name.length() + length(value));
            return super.add(name, value);
        }

        // The count and the listener are no part of what is compared.
        @Override
        public boolean equals(Object other) {
            return super.equals(other);
        }

        @Override
        public int hashCode() {
            return super.hashCode();
        }

        private static int length(Object value) {
            return value instanceof CharSequence text ? text.length() : 0;
        }
    }
}
