package org.auburnhoist.core;

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

    @Override
    public String toString() {
        return name + "@" + Long.toHexString(incarnation);
    }
}
