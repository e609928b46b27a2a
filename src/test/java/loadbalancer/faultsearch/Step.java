package loadbalancer.faultsearch;

import java.util.Locale;

/**
 * Something that happens in a run. Times are in milliseconds from its beginning.
 *
 * @param durationMillis for how long it goes on, where it does
 * @param amount its size, in the unit of its kind
 * @param target the endpoint or the service that it happens to, where it happens to one
 */
record Step(Kind kind, int atMillis, int durationMillis, double amount, int target) {
    /** What happens. */
    enum Kind {
        /** An endpoint starts draining. */
        DRAIN(Group.CHANGE),
        /** An endpoint is gone. */
        REMOVE(Group.CHANGE),
        /** An endpoint is started again, and is ready. */
        RESTART(Group.CHANGE),
        /** An endpoint that drains is ready again without a restart. */
        TAKE_BACK(Group.CHANGE),
        /** Endpoints that nobody uses change every {@code amount} milliseconds. */
        CHURN(Group.CHANGE),
        /** Calls are rejected {@code amount} milliseconds after they came. */
        REJECT(Group.CALLS),
        /** Calls are reset. */
        RESET_CALLS(Group.CALLS),
        /** Calls are never answered. */
        IGNORE_CALLS(Group.CALLS),
        /** A part of the list comes, and nothing more. */
        HALF_LIST(Group.CALLS),
        /** Calls are answered {@code amount} milliseconds after they came. */
        SLOW_TURN(Group.CALLS),
        /** What is written on connections opened meanwhile arrives {@code amount} milliseconds late, always. */
        LATE_PATH(Group.CALLS),
        /** The delay on connections opened meanwhile grows by this part of their age. */
        GROWING_PATH(Group.CALLS),
        /** On connections opened meanwhile bytes arrive each {@code amount} milliseconds. */
        BURST_PATH(Group.CALLS),
        /** Nothing arrives any more of what is written on the connections that are open. */
        DARK_ALL(Group.CONNECTIONS),
        /** The same on the one of them that was opened first. */
        DARK_FIRST(Group.CONNECTIONS),
        /** All connections are closed by the service. */
        END_ALL(Group.CONNECTIONS),
        /** Each watch ends in order after its first list. */
        END_AFTER_LIST(Group.CONNECTIONS),
        /** A call that is closed while it waits ends the watch of its process 2 s after it began. */
        LEFT_CALL_ENDS_WATCH(Group.CONNECTIONS),
        /** All connections let {@code amount} bytes a second pass. */
        THROTTLE(Group.CONNECTIONS),
        /** SIGHUP moves discovery to the other service. */
        MOVE(Group.SERVICE),
        /** A service learns of what changes meanwhile {@code amount} milliseconds late. */
        LAG(Group.SERVICE),
        /** A service is restarted and counts its versions anew. */
        RESTART_SERVICE(Group.SERVICE),
        /** The process is held up for {@code amount} milliseconds. */
        PAUSE(Group.PROCESS),
        /** The process is killed and started with the list of {@code amount} milliseconds before as the known one. */
        RESTART_PROCESS(Group.PROCESS);

        /** What a step concerns. */
        enum Group {
            CHANGE,
            CALLS,
            CONNECTIONS,
            SERVICE,
            PROCESS
        }

        private final Group group;

        Kind(Group group) {
            this.group = group;
        }

        Group group() {
            return group;
        }
    }

    int endMillis() {
        return atMillis + durationMillis;
    }

    boolean covers(double millis) {
        return millis >= atMillis && millis < endMillis();
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%6d ms %s for %d ms, amount %.1f, target %d",
                atMillis,
                kind,
                durationMillis,
                amount,
                target);
    }
}
