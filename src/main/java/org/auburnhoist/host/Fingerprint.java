package org.auburnhoist.host;

import org.auburnhoist.proxy.RequestHead;
import org.jspecify.annotations.Nullable;

/**
 * Hash that identifies equal requests, based on 64-bit FNV-1a. Used to compare repeated operations and to quarantine
 * requests.
 */
public final class Fingerprint {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Fingerprint() {}

    /** Hashes method, path, query, team and the length of the body. */
    public static long of(RequestHead head, String path, String team) {
        long hash = add(FNV_OFFSET_BASIS, head.method());
        hash = add(hash, path);
        hash = add(hash, head.query());
        hash = add(hash, team);
        return (hash ^ head.contentLength()) * FNV_PRIME;
    }

    /** Adds the whole body, so that requests to the same path with different bodies get different fingerprints. */
    public static long withBody(long fingerprint, byte[] body) {
        long hash = fingerprint;
        for (byte octet : body) {
            hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    private static long add(long hash, @Nullable String text) {
        long result = hash;
        String value = text == null ? "" : text;
        for (int index = 0; index < value.length(); index++) {
            result = (result ^ value.charAt(index)) * FNV_PRIME;
        }
        return (result ^ 0xff) * FNV_PRIME;
    }
}
