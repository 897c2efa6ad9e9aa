package org.auburnhoist.core.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against files that differ after splitting and joining, and small changes that replace many chunks. */
class ConfigurationChunksTest {
    @Property(tries = 50, seed = "20261204")
    void oneChangedLineReplacesFewChunks(@ForAll @IntRange(max = 79_999) int line) {
        List<String> lines = new ArrayList<>(Arrays.asList(teams(20_000).split("\n")));
        Set<String> before = digests(String.join("\n", lines));
        lines.set(line, lines.get(line) + " # changed");
        Set<String> after = digests(String.join("\n", lines));
        after.removeAll(before);
        assertTrue(before.size() > 15, "chunks " + before.size());
        assertTrue(after.size() <= 3, "new chunks " + after.size());
    }

    @Test
    void joiningChunksRestoresTheFile() {
        for (String text : List.of("", "a", "a\n", teams(3_000), "x".repeat(600_000), "é\n".repeat(400_000))) {
            byte[] file = text.getBytes(StandardCharsets.UTF_8);
            Map<String, byte[]> stored = new HashMap<>();
            List<ConfigurationChunks.Chunk> chunks = ConfigurationChunks.split(file);
            for (ConfigurationChunks.Chunk chunk : chunks) {
                assertTrue(chunk.content().length > 0 && chunk.content().length <= ConfigurationChunks.MAX_CHUNK_BYTES);
                stored.put(chunk.digest(), chunk.content());
            }
            List<String> digests =
                    chunks.stream().map(ConfigurationChunks.Chunk::digest).toList();
            assertArrayEquals(
                    file, ConfigurationChunks.join(digests, stored::get).get());
        }
    }

    @Test
    void reportsAMissingOrCorruptChunk() {
        String digest = Sha256.hex("a");
        assertEquals(
                "missing",
                ConfigurationChunks.join(List.of(digest), name -> null)
                        .getLeft()
                        .problem());
        assertEquals(
                digest,
                ConfigurationChunks.join(List.of(digest), name -> new byte[] {'b'})
                        .getLeft()
                        .digest());
    }

    private static Set<String> digests(String text) {
        Set<String> digests = new HashSet<>();
        ConfigurationChunks.split(text.getBytes(StandardCharsets.UTF_8)).forEach(chunk -> digests.add(chunk.digest()));
        return digests;
    }

    private static String teams(int count) {
        StringBuilder text = new StringBuilder();
        for (int team = 0; team < count; team++) {
            text.append("  team-").append(team).append(":\n    rate-per-second: 2\n    burst: 3\n    weight: 1\n");
        }
        return text.toString();
    }
}
