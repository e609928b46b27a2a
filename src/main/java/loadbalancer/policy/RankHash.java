package loadbalancer.policy;

/**
 * The order in which one sidecar prefers endpoints: each sidecar's own, and the same for an endpoint whatever else is
 * on the list (rendezvous hashing), so that its subset stays while lists change.
 */
final class RankHash {
    /** FNV-1a, 64 bits: offset basis and prime. */
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;

    /** Multipliers of the finalizer of MurmurHash3, 64 bits. */
    private static final long MIX_MULTIPLIER_1 = 0xff51afd7ed558ccdL;

    private static final long MIX_MULTIPLIER_2 = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private final long salt;

    /** The order of the sidecar with this random salt. */
    RankHash(long salt) {
        this.salt = salt;
    }

    /** The rank of the endpoint with this id, as a signed number; lower ones come first. */
    long rank(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return mix(salt ^ hash);
    }

    private static long mix(long value) {
        long bits = (value ^ (value >>> MIX_SHIFT)) * MIX_MULTIPLIER_1;
        bits = (bits ^ (bits >>> MIX_SHIFT)) * MIX_MULTIPLIER_2;
        return bits ^ (bits >>> MIX_SHIFT);
    }
}
