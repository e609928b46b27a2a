package loadbalancer.policy;

/**
 * The policy's part in watching the endpoint list: turns what becomes of the watch into events of the schedule, and
 * asks for a call when the schedule says so.
 */
final class DiscoveryPoller {
    private final DiscoveryCallSchedule schedule;
    private final PolicyActions actions;
    /** True from the first call that failed to the next list. */
    private boolean unavailable;
    /** True once the list that the process was started with was found too old. */
    private boolean initialListExpired;

    DiscoveryPoller(DiscoveryCallSchedule schedule, PolicyActions actions) {
        this.schedule = schedule;
        this.actions = actions;
    }

    /** Schedules the first call, unless lists are pushed. */
    void start(double nowMillis) {
        schedule.started(nowMillis);
        wakeAtNextCall();
    }

    /** Something became of the watch, or a list came. */
    void watchChanged(double nowMillis, WatchEvent event) {
        switch (event) {
            case IDLE_TIMEOUT -> schedule.watchFellSilent(nowMillis);
            case MOVED -> schedule.moved(nowMillis);
            case FAILED -> {
                schedule.callEnded(nowMillis);
                logUnavailable();
            }
            case REJECTED -> {
                schedule.callRejected(nowMillis);
                logUnavailable();
            }
            case SNAPSHOT, DELTA -> listReceived();
            case STALE_SNAPSHOT, RETIREMENTS -> {}
        }
        if (!event.bringsList()) {
            wakeAtNextCall();
        }
    }

    private void logUnavailable() {
        if (!unavailable) {
            unavailable = true;
            actions.log("endpoint list unavailable, using the last known list");
        }
    }

    // A watch that has been silent brings changes late, and says nothing of how current the list is.
    private void listReceived() {
        if (!schedule.currency().reliable()) {
            return;
        }
        schedule.listReceived();
        if (unavailable) {
            unavailable = false;
            actions.log("endpoint list available again");
        }
    }

    /** Returns true if requests may be sent by the list in use; logs once that they may not. */
    boolean listUsable(double nowMillis) {
        boolean usable = schedule.listUsable(nowMillis);
        if (!usable && !initialListExpired) {
            initialListExpired = true;
            actions.log("endpoint list known at the start may be out of date: requests are rejected until discovery"
                    + " answers");
        }
        return usable;
    }

    private void wakeAtNextCall() {
        if (!Double.isNaN(schedule.nextCallMillis())) {
            actions.scheduleWake(schedule.nextCallMillis());
        }
    }

    /** Asks for a call if the time has come. */
    void wake(double nowMillis) {
        if (schedule.nextCallMillis() <= nowMillis) {
            schedule.callRequested(nowMillis);
            actions.watchEndpoints();
        }
    }
}
