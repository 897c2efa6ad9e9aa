package org.auburnhoist.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Iterator;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Parses and serializes JSON trees.
 *
 * <p>The library's object mapper does the same, but first loads date formats and locales, which takes a fifth of the
 * processor time of a start.
 */
final class Json {
    /** Bounds the recursion, since thread stacks are small; the platform's messages nest only a few levels deep. */
    private static final int MAX_DEPTH = 64;

    private static final JsonFactory FACTORY = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private Json() {}

    /** Creates an empty object. */
    static ObjectNode object() {
        return NODES.objectNode();
    }

    /**
     * Parses the first JSON value of a text; returns a missing node if there is none.
     *
     * @throws IOException if the text is not valid JSON or is nested too deeply
     */
    static JsonNode read(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            JsonToken first = parser.nextToken();
            return first == null ? MissingNode.getInstance() : value(parser, first, 1);
        }
    }

    /**
     * Parses a text that is one JSON value and nothing else, without a name that occurs twice in an object.
     *
     * @throws IOException if the text is not that, or is nested too deeply
     */
    static JsonNode readOnly(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
            JsonNode read = value(parser, parser.nextToken(), 1);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "expected the end of the text, got " + parser.currentToken());
            }
            return read;
        }
    }

    private static JsonNode value(JsonParser parser, @Nullable JsonToken token, int depth) throws IOException {
        if (token == null || depth > MAX_DEPTH) {
            throw new JsonParseException(parser, "expected a value at most " + MAX_DEPTH + " levels deep");
        }
        return switch (token) {
            case START_OBJECT -> members(parser, depth);
            case START_ARRAY -> elements(parser, depth);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> integer(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new JsonParseException(parser, "expected a value, got " + token);
        };
    }

    private static ObjectNode members(JsonParser parser, int depth) throws IOException {
        ObjectNode object = NODES.objectNode();
        String name;
        while ((name = parser.nextFieldName()) != null) {
            object.set(name, value(parser, parser.nextToken(), depth + 1));
        }
        return object;
    }

    private static ArrayNode elements(JsonParser parser, int depth) throws IOException {
        ArrayNode array = NODES.arrayNode();
        JsonToken token;
        while ((token = parser.nextToken()) != JsonToken.END_ARRAY) {
            array.add(value(parser, token, depth + 1));
        }
        return array;
    }

    private static JsonNode integer(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    static String write(JsonNode value) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            write(value, generator);
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing to memory failed", impossible);
        }
        return text.toString();
    }

    private static void write(JsonNode value, JsonGenerator generator) throws IOException {
        if (value.isObject()) {
            generator.writeStartObject();
            for (Iterator<Map.Entry<String, JsonNode>> members = value.fields(); members.hasNext(); ) {
                Map.Entry<String, JsonNode> member = members.next();
                generator.writeFieldName(member.getKey());
                write(member.getValue(), generator);
            }
            generator.writeEndObject();
        } else if (value.isArray()) {
            generator.writeStartArray();
            for (JsonNode item : value) {
                write(item, generator);
            }
            generator.writeEndArray();
        } else if (value.isTextual()) {
            generator.writeString(value.textValue());
        } else {
            // The text form of numbers, booleans and null is valid JSON.
            generator.writeRawValue(value.asText());
        }
    }
}
