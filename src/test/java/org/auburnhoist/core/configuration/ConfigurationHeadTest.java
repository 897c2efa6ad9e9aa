package org.auburnhoist.core.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against heads that lose files of earlier versions or attribute them to the wrong operator. */
class ConfigurationHeadTest {
    private static final ConfigurationHead.Change FIRST =
            new ConfigurationHead.Change(1, "1", "amina", "2026-12-04T08:00:00Z", "replaced a.yaml, b.yaml");
    private static final ConfigurationHead.Change SECOND =
            new ConfigurationHead.Change(2, "2", "karim", "2026-12-04T09:00:00Z", "replaced b.yaml");

    private static final ConfigurationHead.Change THIRD =
            new ConfigurationHead.Change(3, "3", "amina", "2026-12-04T10:00:00Z", "removed a.yaml");

    @Test
    void keepsFilesThatAChangeDoesNotName() {
        ConfigurationHead first = ConfigurationHead.NONE.next(
                FIRST, List.of(ConfigurationFile.of("b.yaml", "b"), ConfigurationFile.of("a.yaml", "a")), Set.of());
        ConfigurationHead second = first.next(SECOND, List.of(ConfigurationFile.of("b.yaml", "bb")), Set.of());
        assertEquals(2, second.version());
        assertEquals(first.file("a.yaml"), second.file("a.yaml"));
        assertEquals(List.of(SECOND, FIRST), second.history());
        assertEquals("amina", second.files().get(0).appliedBy());
        assertEquals("karim", second.files().get(1).appliedBy());
        assertEquals(
                List.of("b.yaml"),
                second.next(THIRD, List.of(), Set.of("a.yaml")).files().stream()
                        .map(ConfigurationHead.FileEntry::name)
                        .toList());
    }

    @Test
    void survivesAJsonRoundTrip() {
        ConfigurationHead head =
                ConfigurationHead.NONE.next(FIRST, List.of(ConfigurationFile.of("a.yaml", "a")), Set.of());
        assertEquals(head, ConfigurationHead.parse(head.toBytes()).get());
    }

    @Test
    void refusesInvalidHeads() {
        for (String text : List.of("", "{}", "[]", "null", "{\"version\":1}", "{\"version\":0,\"files\":[]}", "x")) {
            assertTrue(
                    ConfigurationHead.parse(text.getBytes(StandardCharsets.UTF_8))
                            .isLeft(),
                    text);
        }
    }
}
