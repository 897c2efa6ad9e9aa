package org.auburnhoist.support;

/** A part of a process that reports its progress to a {@link Supervisor}; safe for use by several threads. */
public final class WatchedPart {
    private final String name;
    private volatile boolean progress;
    private volatile boolean ended;
    /** Time without progress while the supervisor ran; used by its thread only. */
    private long silentNanos;

    WatchedPart(String name) {
        this.name = name;
    }

    /** Name for the log. */
    public String name() {
        return name;
    }

    /** Reports that the part has done work, or could have done some; cheap enough for each turn of a loop. */
    public void progressed() {
        if (!progress) {
            progress = true;
        }
    }

    /** Reports that the part has ended and will not come back. */
    public void ended() {
        ended = true;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Adds a time that has passed, and returns how long the part has made no progress, in nanoseconds. */
    long addTime(long nanos) {
        silentNanos = progress && !ended ? 0 : silentNanos + nanos;
        progress = false;
        return silentNanos;
    }
}
