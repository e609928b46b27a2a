package loadbalancer.testing;

/**
 * One direction of one connection: says when the bytes that are written to it arrive. They keep their order. Times are
 * in milliseconds on any clock that all calls share.
 */
public final class NetworkPath {
    private final double openedMillis;
    private PathTreatment treatment;
    private double darkFromMillis = Double.POSITIVE_INFINITY;
    private double transmittedMillis;
    private double arrivedMillis;

    /** A path of a connection that was opened at this time. */
    public NetworkPath(PathTreatment treatment, double openedMillis) {
        this.treatment = treatment;
        this.openedMillis = openedMillis;
    }

    /** Treats what is written from now on in another way. */
    public void treat(PathTreatment next) {
        treatment = next;
    }

    /** What is written from this time on never arrives. */
    public void goDark(double fromMillis) {
        darkFromMillis = Math.min(darkFromMillis, fromMillis);
    }

    /** Returns when the last of these bytes arrives if they are written at this time; infinity if never. */
    public double arrivalMillis(double writtenMillis, int bytes) {
        if (writtenMillis >= darkFromMillis) {
            return Double.POSITIVE_INFINITY;
        }
        transmittedMillis = Math.max(transmittedMillis, writtenMillis) + bytes / treatment.bytesPerMilli();
        double delayMillis = treatment.delayMillis() + treatment.growth() * (writtenMillis - openedMillis);
        double dueMillis = inBurst(transmittedMillis + delayMillis);
        arrivedMillis = Math.max(arrivedMillis, dueMillis);
        return arrivedMillis;
    }

    private double inBurst(double millis) {
        double burstMillis = treatment.burstMillis();
        return burstMillis > 0 ? Math.ceil(millis / burstMillis) * burstMillis : millis;
    }
}
