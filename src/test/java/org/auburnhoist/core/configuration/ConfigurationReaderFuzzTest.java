package org.auburnhoist.core.configuration;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against malformed files that make the reader throw an exception, or that it refuses without a finding. */
class ConfigurationReaderFuzzTest {
    private static final long SEED = 20_261_204;
    private static final int ROUNDS = 4_000;
    private static final String[] TOKENS = {
        "{",
        "}",
        "[",
        "]",
        ": ",
        "- ",
        "&a ",
        "*a ",
        "!!str ",
        "\n",
        "\t",
        "\"",
        "'",
        "|",
        ">",
        "---\n",
        "...\n",
        "%",
        "? ",
        "\u0000",
        "\uFEFF",
        "teams:",
        "null",
        "~",
        "9999999999999",
        "-1",
        "1e309",
        "<<: ",
        "#",
        "\\",
        "\uD83D"
    };

    @Test
    void returnsAValueOrFindingsForMutatedFiles() {
        Random random = new Random(SEED);
        for (int round = 0; round < ROUNDS; round++) {
            byte[] content = mutated(random);
            var result = ConfigurationReader.read(1, List.of(new ConfigurationFile("f.yaml", content)));
            if (result.isLeft()) {
                assertFalse(result.getLeft().isEmpty());
                assertTrue(result.getLeft().stream()
                        .noneMatch(finding -> finding.describe().contains("\n")));
            }
        }
    }

    @Test
    void returnsAValueOrFindingsForRandomBytes() {
        Random random = new Random(SEED);
        for (int round = 0; round < ROUNDS; round++) {
            byte[] content = new byte[random.nextInt(200)];
            random.nextBytes(content);
            ConfigurationReader.read(1, List.of(new ConfigurationFile("f.yaml", content)));
        }
    }

    private static byte[] mutated(Random random) {
        StringBuilder text = new StringBuilder(Samples.VALID);
        for (int change = random.nextInt(4); change >= 0; change--) {
            int start = random.nextInt(text.length());
            int end = Math.min(text.length(), start + random.nextInt(random.nextBoolean() ? 3 : 40));
            text.replace(start, end, TOKENS[random.nextInt(TOKENS.length)]);
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
