package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against JSON messages that are parsed or serialized incorrectly. */
class JsonTest {
    private static final ObjectMapper REFERENCE = new ObjectMapper();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void parsesAndSerializesLikeTheObjectMapper() throws IOException {
        for (String text : List.of(
                "{}",
                "[]",
                "\"a \\\"quoted\\\" \\u00e9 \\n text\"",
                "17",
                "{\"a\":[1,-2,9007199254740993,123456789012345678901234567890],\"b\":{\"c\":[[],{}]}}",
                "{\"share\":0.5,\"small\":1.0E-9,\"on\":true,\"off\":false,\"none\":null,\"\":\"\"}",
                "{\"twice\":1,\"twice\":2}",
                " [1] trailing")) {
            assertEquals(REFERENCE.readTree(bytes(text)), Json.read(bytes(text)), text);
            assertEquals(REFERENCE.readTree(bytes(text)).toString(), Json.write(Json.read(bytes(text))), text);
        }
        assertTrue(Json.read(new byte[0]).isMissingNode());
        assertTrue(Json.read(bytes("  ")).isMissingNode());
    }

    /** Guards against a stack overflow that ends a thread when a message is nested too deeply. */
    @Test
    void rejectsInvalidAndTooDeeplyNestedJson() throws IOException {
        for (String text : List.of("{", "[1,", "{\"a\"}", "{\"a\":}", "]", "tru", "\"open", "{'a':1}", "[1 2]")) {
            assertThrows(IOException.class, () -> Json.read(bytes(text)), text);
        }
        assertThrows(IOException.class, () -> Json.read(new byte[] {'"', (byte) 0xff, '"'}));
        assertThrows(IOException.class, () -> Json.read(bytes("[".repeat(100_000))));
        assertThrows(IOException.class, () -> Json.read(bytes("{\"a\":".repeat(100_000))));
        String deepest = "[".repeat(64) + "]".repeat(64);
        assertEquals(deepest, Json.write(Json.read(bytes(deepest))));
    }
}
