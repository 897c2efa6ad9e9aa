import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the JSON bodies of the store's calls: objects, arrays, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> rows(Map<String, Object> body, String name) {
        return (List<Map<String, Object>>) body.getOrDefault(name, List.of());
    }

    static String quote(String value) {
        return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        switch (next()) {
            case '{': {
                Map<String, Object> object = new LinkedHashMap<>();
                at++;
                while (next() != '}') {
                    if (next() == ',') {
                        at++;
                        next();
                    }
                    String name = string();
                    next();
                    at++;
                    object.put(name, value());
                }
                at++;
                return object;
            }
            case '[': {
                List<Object> list = new ArrayList<>();
                at++;
                while (next() != ']') {
                    if (next() == ',') {
                        at++;
                    }
                    list.add(value());
                }
                at++;
                return list;
            }
            case '"':
                return string();
            default: {
                int start = at;
                while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
                    at++;
                }
                String word = text.substring(start, at);
                return switch (word) {
                    case "true" -> true;
                    case "false" -> false;
                    case "null" -> "";
                    default -> (long) Double.parseDouble(word);
                };
            }
        }
    }

    private String string() {
        next();
        at++;
        StringBuilder result = new StringBuilder();
        while (text.charAt(at) != '"') {
            if (text.charAt(at) == '\\') {
                at++;
            }
            result.append(text.charAt(at++));
        }
        at++;
        return result.toString();
    }
}
