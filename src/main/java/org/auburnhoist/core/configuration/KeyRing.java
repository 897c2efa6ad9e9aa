package org.auburnhoist.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Checks the keys that callers present. Immutable; safe for use by several threads.
 *
 * <pre>{@code
 * KeyRing ring = KeyRing.of(configuration.keys().values());
 * KeyCheck check = ring.check(head.header("Authorization"));
 * }</pre>
 */
public final class KeyRing {
    private static final String SCHEME = "Bearer ";

    /** Longest header value that is examined, in characters; issued keys are shorter than 110. */
    private static final int MAXIMUM_LENGTH = 512;

    private final Map<String, Entry> entries;
    private final Entry absent = new Entry(new Key("", "", "", false), new byte[32]);

    private KeyRing(Map<String, Entry> entries) {
        this.entries = entries;
    }

    /** A ring of declared keys. */
    public static KeyRing of(Collection<Key> keys) {
        Map<String, Entry> entries = new HashMap<>();
        for (Key key : keys) {
            entries.put(key.id(), new Entry(key, HexFormat.of().parseHex(key.secretSha256())));
        }
        return new KeyRing(entries);
    }

    /**
     * Checks the value of an {@code Authorization} header.
     *
     * @param authorization the value, or null if the request has no such header
     */
    public KeyCheck check(@Nullable String authorization) {
        if (authorization == null || authorization.isBlank()) {
            return new KeyCheck.Missing();
        }
        if (authorization.length() > MAXIMUM_LENGTH || !isBearer(authorization)) {
            return new KeyCheck.Unknown();
        }
        String credential = authorization.substring(SCHEME.length()).strip();
        int dot = credential.indexOf('.');
        String id = dot < 0 ? "" : credential.substring(0, dot);
        return compare(entries.getOrDefault(id, absent), credential.substring(dot + 1));
    }

    /** Compares digests in constant time; an unknown id costs as much as a wrong secret. */
    private KeyCheck compare(Entry entry, String secret) {
        byte[] digest = Sha256.digest(secret.getBytes(StandardCharsets.UTF_8));
        boolean equal = MessageDigest.isEqual(digest, entry.digest);
        if (!equal || entry == absent) {
            return new KeyCheck.Unknown();
        }
        Key key = entry.key;
        return key.withdrawn()
                ? new KeyCheck.Withdrawn(key.team(), key.id())
                : new KeyCheck.Accepted(key.team(), key.id());
    }

    private static boolean isBearer(String authorization) {
        return authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
    }

    /** A key with the bytes of its digest. */
    private static final class Entry {
        private final Key key;
        private final byte[] digest;

        Entry(Key key, byte[] digest) {
            this.key = key;
            this.digest = digest;
        }
    }
}
