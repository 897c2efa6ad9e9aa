package org.auburnhoist.core;

/**
 * A place in the history of the platform's store.
 *
 * <p>Within an era, a higher revision includes all changes up to a lower one. A store that is restored from a copy
 * begins a new era: it loses changes and gives out their revisions again. A position of a later era was therefore
 * reached later, but need not include what an earlier era held.
 *
 * @param era number of the store's era, 0 if the store does not name it
 * @param revision the store's revision within that era, 0 before its first change
 */
public record StorePosition(long era, long revision) {
    /** Before every other position; also the position of an absent key. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    /** Returns the position of a revision in a store that names no era. */
    public static StorePosition ofRevision(long revision) {
        return new StorePosition(0, revision);
    }

    /** Whether the store reached this position after the other one, in a later era or by a later change. */
    public boolean isReachedAfter(StorePosition other) {
        return era != other.era ? era > other.era : revision > other.revision;
    }

    /** Whether the store was restored from a copy between the other position and this one. */
    public boolean isOfLaterEraThan(StorePosition other) {
        return era > other.era;
    }

    /** Returns whichever of the two positions the store reached first. */
    public StorePosition earlier(StorePosition other) {
        return isReachedAfter(other) ? other : this;
    }

    /** Returns whichever of the two positions the store reached last. */
    public StorePosition later(StorePosition other) {
        return isReachedAfter(other) ? this : other;
    }

    @Override
    public String toString() {
        return era + ":" + revision;
    }
}
