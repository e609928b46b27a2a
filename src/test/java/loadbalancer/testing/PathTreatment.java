package loadbalancer.testing;

/**
 * What one direction of a connection does to the bytes on it; times are in milliseconds.
 *
 * @param delayMillis by how much each byte is late
 * @param growth by how much the delay grows, as a part of the age of the connection
 * @param bytesPerMilli how many bytes pass in a millisecond; infinity for any number
 * @param burstMillis bytes arrive only at multiples of this time; 0 if they arrive at any time
 */
public record PathTreatment(double delayMillis, double growth, double bytesPerMilli, double burstMillis) {
    /** A path that delays nothing. */
    public static final PathTreatment PROMPT = new PathTreatment(0, 0, Double.POSITIVE_INFINITY, 0);

    /** A path on which each byte is late by the same time. */
    public static PathTreatment late(double millis) {
        return new PathTreatment(millis, 0, Double.POSITIVE_INFINITY, 0);
    }

    /** A path whose delay grows by this part of the connection's age. */
    public static PathTreatment growing(double growth) {
        return new PathTreatment(0, growth, Double.POSITIVE_INFINITY, 0);
    }

    /** A path that lets so many bytes pass in a second. */
    public static PathTreatment throttled(double bytesPerSecond) {
        return new PathTreatment(0, 0, bytesPerSecond / 1000, 0);
    }

    /** A path on which bytes arrive together, at multiples of this time. */
    public static PathTreatment bursts(double millis) {
        return new PathTreatment(0, 0, Double.POSITIVE_INFINITY, millis);
    }
}
