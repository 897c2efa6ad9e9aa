package org.auburnhoist.gateway;

import java.io.IOException;

/**
 * A record of something that is counted over the whole fleet, of which each host has a copy. Merging copies gives the
 * same result in any order, so that no host owns the record and it outlives each of them.
 */
interface FleetRecord {
    /** Name of the record in messages; not changed between releases. */
    String name();

    /** Hash of this host's copy without times; equal for hosts that know the same, and 0 if nothing is known. */
    long hash(long nowNanos);

    /** Encodes this host's copy. */
    byte[] encode(long nowNanos);

    /**
     * Adds another host's copy.
     *
     * @throws IOException if the bytes are not a copy of this record; nothing is added then
     */
    void merge(byte[] content, long nowNanos) throws IOException;
}
