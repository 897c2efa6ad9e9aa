package org.auburnhoist.core;

import java.nio.charset.StandardCharsets;

/** A hash that is the same on all hosts and in all releases: 64-bit FNV-1a followed by the finalizer of MurmurHash3. */
public final class StableHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private StableHash() {}

    /** Hashes the UTF-8 form of a text. */
    public static long of(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Hashes a text together with a host, for rendezvous hashing. */
    public static long of(String text, HostId host) {
        return mix(of(text) ^ mix(of(host.name()) + host.incarnation()));
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
