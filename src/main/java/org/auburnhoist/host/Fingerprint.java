package org.auburnhoist.host;

import org.auburnhoist.proxy.RequestHead;
import org.jspecify.annotations.Nullable;

/** Hash of what makes two requests the same request, for operations and for quarantine. */
public final class Fingerprint {
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Fingerprint() {}

    /** Hashes method, path, query, team and the length of the body. */
    public static long of(RequestHead head, String path, String team) {
        long hash = add(OFFSET, head.method());
        hash = add(hash, path);
        hash = add(hash, head.query());
        hash = add(hash, team);
        return (hash ^ head.contentLength()) * PRIME;
    }

    /** Adds the whole body, so that different requests to the same path are told apart. */
    public static long withBody(long fingerprint, byte[] body) {
        long hash = fingerprint;
        for (byte octet : body) {
            hash = (hash ^ (octet & 0xff)) * PRIME;
        }
        return hash;
    }

    private static long add(long hash, @Nullable String text) {
        long result = hash;
        String value = text == null ? "" : text;
        for (int index = 0; index < value.length(); index++) {
            result = (result ^ value.charAt(index)) * PRIME;
        }
        return (result ^ 0xff) * PRIME;
    }
}
