package org.auburnhoist.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Holds the declared keys and authenticates callers by the keys that they present. Immutable and thread-safe.
 *
 * <pre>{@code
 * KeyRing ring = KeyRing.of(configuration.keys().values());
 * KeyCheck check = ring.check(head.header("Authorization"));
 * }</pre>
 */
public final class KeyRing {
    private static final String SCHEME = "Bearer ";

    /** Maximum length of a header value that is checked, in characters; issued keys are shorter than 110. */
    private static final int MAX_HEADER_LENGTH = 512;

    private final Map<String, Entry> entries;
    private final Entry unknownKey = new Entry(new Key("", "", "", false), new byte[32]);

    private KeyRing(Map<String, Entry> entries) {
        this.entries = entries;
    }

    /** Creates a key ring from declared keys. */
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
        if (authorization.length() > MAX_HEADER_LENGTH || !isBearer(authorization)) {
            return new KeyCheck.Unknown();
        }
        String credential = authorization.substring(SCHEME.length()).strip();
        int dot = credential.indexOf('.');
        String id = dot < 0 ? "" : credential.substring(0, dot);
        return compare(entries.getOrDefault(id, unknownKey), credential.substring(dot + 1));
    }

    /** Compares digests in constant time; checking an unknown id takes as long as checking a wrong secret. */
    private KeyCheck compare(Entry entry, String secret) {
        byte[] digest = Sha256.digest(secret.getBytes(StandardCharsets.UTF_8));
        boolean equal = MessageDigest.isEqual(digest, entry.digest);
        if (!equal || entry == unknownKey) {
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
