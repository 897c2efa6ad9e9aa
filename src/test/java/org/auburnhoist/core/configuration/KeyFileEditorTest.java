package org.auburnhoist.core.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against edits that change or corrupt other parts of a file, which people maintain by hand. */
class KeyFileEditorTest {
    private static final Key KEY = new Key("new-1", "school", "ab".repeat(32), false);
    private static final String ENTRY = "  new-1:~    team: school~    secret-sha256: \"" + "ab".repeat(32) + "\"~";

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            ignoreLeadingAndTrailingWhitespace = false,
            value = {
                "keys:~  a: {team: t}~|keys:~  a: {team: t}~@",
                "keys:~  a: {team: t}|keys:~  a: {team: t}~@-",
                "keys:~|keys:~@",
                "teams: {}~|teams: {}~keys:~@",
                "# only a comment~|# only a comment~keys:~@",
                "keys:~  # first~  a:~    team: t # x~~# services~services:~  b: {}~"
                        + "|keys:~  # first~  a:~    team: t # x~@~# services~services:~  b: {}~",
            })
    void appendsAtTheEndOfTheSection(String before, String after) {
        String expected =
                after.replace("@-", ENTRY.substring(0, ENTRY.length() - 1)).replace("@", ENTRY);
        for (String lineSeparator : new String[] {"\n", "\r\n"}) {
            ConfigurationFile file = ConfigurationFile.of("f.yaml", before.replace("~", lineSeparator));
            assertEquals(
                    expected.replace("~", lineSeparator),
                    text(KeyFileEditor.append(file, KEY).get()));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"keys: {}", "keys: {a: {team: t}}", "keys:\n  new-1: {}", "[", "x", "teams: {}\n...\n"})
    void refusesAFormThatItCannotEdit(String text) {
        assertTrue(
                KeyFileEditor.append(ConfigurationFile.of("f.yaml", text), KEY).isLeft());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            ignoreLeadingAndTrailingWhitespace = false,
            value = {
                "keys:~  a: {team: t} # x~|keys:~  a: {withdrawn: true, team: t} # x~",
                "keys:~  a:~    # é~    team: t~|keys:~  a:~    # é~    withdrawn: true~    team: t~",
                "keys:~  a: {team: t, withdrawn: false}~|keys:~  a: {team: t, withdrawn: true}~",
                "keys: {a: {team: t}, b: {team: t}}|keys: {a: {withdrawn: true, team: t}, b: {team: t}}",
                "keys: {é: {team: t}, a: {team: t}}|keys: {é: {team: t}, a: {withdrawn: true, team: t}}",
                "keys:~  a: {withdrawn: true}~|keys:~  a: {withdrawn: true}~",
            })
    void marksAKeyAsWithdrawn(String before, String after) {
        ConfigurationFile file = ConfigurationFile.of("f.yaml", before.replace("~", "\n"));
        assertEquals(
                after.replace("~", "\n"), text(KeyFileEditor.withdraw(file, "a").get()));
    }

    @Test
    void refusesToWithdrawAKeyThatTheFileDoesNotDeclare() {
        ConfigurationFile file = ConfigurationFile.of("f.yaml", "keys:\n  a: {team: t}\n");
        assertEquals(1, KeyFileEditor.withdraw(file, "b").getLeft().size());
        assertTrue(
                KeyFileEditor.withdraw(ConfigurationFile.of("f.yaml", ""), "a").isLeft());
    }

    private static String text(ConfigurationFile file) {
        return new String(file.content(), StandardCharsets.UTF_8);
    }
}
