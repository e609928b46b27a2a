package loadbalancer.downstream;

/**
 * Divides what the connections of one event loop may read in a turn, by deficit round robin: each may use up the same
 * share, whatever its place in the turn, and what it uses up beyond that is taken off its next shares. The share is as
 * large as the connections that need less than theirs allow.
 *
 * <p>The cost of a read is what it takes the loop: its bytes, and the parts that are decoded from them.
 */
final class ReadAllowance {
    /** What all connections together are to use up in a turn, in units of cost: a byte costs one. */
    private static final int COST_PER_TURN = 8 * 1024 * 1024;
    /** What they may use up before each is restricted to one small read. */
    private static final int MAX_COST_PER_TURN = 2 * COST_PER_TURN;
    /** A head, a chunk or an end takes the loop as long as so many bytes of a body. */
    private static final int COST_PER_PART = 2048;
    /** The head of a usual request and a part of a large body. */
    private static final int MIN_SHARE = 16 * 1024;
    /** More than the largest request of a usual client. */
    private static final int MAX_SHARE = 1024 * 1024;

    private static final double MAX_GROWTH = 2;

    private long turn;
    private int costThisTurn;
    private double share = MAX_SHARE;

    /** Ends the present turn and begins the next one. */
    void beginTurn() {
        double growth = Math.min(MAX_GROWTH, (double) COST_PER_TURN / Math.max(1, costThisTurn));
        share = Math.max(MIN_SHARE, Math.min(MAX_SHARE, share * growth));
        turn++;
        costThisTurn = 0;
    }

    /** Counts bytes that were read. */
    void recordBytes(int bytes) {
        costThisTurn += bytes;
    }

    /** Counts a part that was decoded from them. */
    void recordPart() {
        costThisTurn += COST_PER_PART;
    }

    /** The number of the present turn. */
    long turn() {
        return turn;
    }

    /** What has been used up in the present turn. */
    int costThisTurn() {
        return costThisTurn;
    }

    /** What each connection may use up in the present turn. */
    int share() {
        return (int) share;
    }

    /** True once the present turn has taken so long that no connection may read more than a little. */
    boolean usedUp() {
        return costThisTurn >= MAX_COST_PER_TURN;
    }
}
