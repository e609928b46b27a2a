package loadbalancer.simulator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * The words that a field may have, and what each stands for. They are compared as bytes, in the order given, so that
 * no string is made of a field.
 */
final class WireWords<T> {
    private record Word<T>(byte[] bytes, T value) {}

    private final List<Word<T>> words = new ArrayList<>();

    private WireWords() {}

    /** Words with their values; the most frequent should come first. */
    @SafeVarargs
    static <T> WireWords<T> of(Map.Entry<String, T>... entries) {
        WireWords<T> words = new WireWords<>();
        for (Map.Entry<String, T> entry : entries) {
            words.add(entry.getKey(), entry.getValue());
        }
        return words;
    }

    /** Words that stand for their index in this list. */
    static WireWords<Integer> indices(List<String> names) {
        WireWords<Integer> words = new WireWords<>();
        for (int i = 0; i < names.size(); i++) {
            words.add(names.get(i), i);
        }
        return words;
    }

    private void add(String word, T value) {
        words.add(new Word<>(word.getBytes(StandardCharsets.UTF_8), value));
    }

    /** Returns the value of the word between these indices of a buffer, or null if it is unknown. */
    T find(byte[] buffer, int from, int to) {
        for (int i = 0; i < words.size(); i++) {
            Word<T> word = words.get(i);
            byte[] bytes = word.bytes;
            if (bytes.length == to - from && Arrays.equals(bytes, 0, bytes.length, buffer, from, to)) {
                return word.value;
            }
        }
        return null;
    }
}
