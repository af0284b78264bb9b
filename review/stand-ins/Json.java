import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects are maps, arrays are lists, numbers are Long or Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.space();
        if (reader.at != text.length()) throw new IllegalArgumentException("text after the value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parseObject(byte[] bytes) {
        return (Map<String, Object>) parse(new String(bytes, java.nio.charset.StandardCharsets.UTF_8));
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private char next() {
        space();
        return text.charAt(at);
    }

    private Object value() {
        char first = next();
        if (first == '{') return object();
        if (first == '[') return array();
        if (first == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        switch (word) {
            case "null": return null;
            case "true": return true;
            case "false": return false;
            default: return word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        }
    }

    private Map<String, Object> object() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            String name = string();
            if (next() != ':') throw new IllegalArgumentException("':' expected");
            at++;
            result.put(name, value());
            if (next() == ',') at++;
        }
        at++;
        return result;
    }

    private List<Object> array() {
        List<Object> result = new ArrayList<>();
        at++;
        while (next() != ']') {
            result.add(value());
            if (next() == ',') at++;
        }
        at++;
        return result;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        if (next() != '"') throw new IllegalArgumentException("string expected");
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            c = text.charAt(++at);
            switch (c) {
                case 'n': result.append('\n'); break;
                case 'r': result.append('\r'); break;
                case 't': result.append('\t'); break;
                case 'b': result.append('\b'); break;
                case 'f': result.append('\f'); break;
                case 'u':
                    result.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                    at += 4;
                    break;
                default: result.append(c);
            }
        }
        at++;
        return result.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                out.append(separator);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable) {
            out.append('[');
            String separator = "";
            for (Object element : (Iterable<?>) value) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String) {
            out.append('"');
            for (char c : ((String) value).toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < 0x20) out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
