package loadbalancer.lifecycle;

/** A step of the {@link ClassArchiveTraining}, which may fail without ending the training. */
@FunctionalInterface
interface TrainingStep {
    /** How long the training waits for what must come. */
    int MAX_WAIT_MILLIS = 5000;
    /** How often the training repeats what may not succeed at once. */
    int MAX_TRIES = 50;
    /** How long the training waits before it repeats. */
    int PAUSE_MILLIS = MAX_WAIT_MILLIS / MAX_TRIES;

    /** Plays the step. */
    void play() throws Exception;

    /** Plays a step; if it fails, reports that. */
    static void attempt(TrainingStep step) {
        try {
            step.play();
        } catch (Exception e) {
            reportLeftOut(e);
        }
    }

    /** Prints to standard error that a step could not be played, and why. */
    static void reportLeftOut(Exception cause) {
        System.err.println("left out of the class archive: " + cause + " at " + cause.getStackTrace()[0]);
    }
}
