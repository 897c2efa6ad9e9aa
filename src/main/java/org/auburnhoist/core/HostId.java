package org.auburnhoist.core;

import org.jspecify.annotations.Nullable;

/**
 * One run of an entry host process.
 *
 * @param name the host's name from its settings
 * @param incarnation a random number drawn at each start, so that a restarted or replaced host differs from its
 *     predecessor
 */
public record HostId(String name, long incarnation) implements Comparable<HostId> {

    @Override
    public int compareTo(HostId other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
    }

    // Written by hand: the generated methods of a record are linked at their first use, which delays process startup.
    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof HostId that && incarnation == that.incarnation && name.equals(that.name);
    }

    @Override
    public int hashCode() {
        return 31 * name.hashCode() + Long.hashCode(incarnation);
    }

    @Override
    public String toString() {
        return name + "@" + Long.toHexString(incarnation);
    }
}
