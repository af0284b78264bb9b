import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON with maps, lists, strings, numbers and booleans. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.skipSpace();
        if (json.position != text.length()) throw new IllegalArgumentException("text after the value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static long number(Map<String, Object> object, String key, long otherwise) {
        return object.get(key) instanceof Number n ? n.longValue() : otherwise;
    }

    static String text(Map<String, Object> object, String key) {
        return object.get(key) instanceof String s ? s : "";
    }

    private Object value() {
        skipSpace();
        char next = text.charAt(position);
        switch (next) {
            case '{': return objectValue();
            case '[': return listValue();
            case '"': return stringValue();
            case 't': position += 4; return true;
            case 'f': position += 5; return false;
            case 'n': position += 4; return null;
            default: return numberValue();
        }
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> result = new LinkedHashMap<>();
        position++;
        skipSpace();
        while (text.charAt(position) != '}') {
            if (text.charAt(position) == ',') position++;
            skipSpace();
            String key = stringValue();
            skipSpace();
            position++;
            result.put(key, value());
            skipSpace();
        }
        position++;
        return result;
    }

    private List<Object> listValue() {
        List<Object> result = new ArrayList<>();
        position++;
        skipSpace();
        while (text.charAt(position) != ']') {
            if (text.charAt(position) == ',') position++;
            result.add(value());
            skipSpace();
        }
        position++;
        return result;
    }

    private String stringValue() {
        StringBuilder result = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char c = text.charAt(position++);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n': result.append('\n'); break;
                case 't': result.append('\t'); break;
                case 'r': result.append('\r'); break;
                case 'b': result.append('\b'); break;
                case 'f': result.append('\f'); break;
                case 'u':
                    result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                    break;
                default: result.append(escaped);
            }
        }
        position++;
        return result.toString();
    }

    private Number numberValue() {
        int start = position;
        while (position < text.length() && "+-.eE0123456789".indexOf(text.charAt(position)) >= 0) position++;
        String number = text.substring(start, position);
        if (number.matches("-?[0-9]+")) return Long.parseLong(number);
        return Double.parseDouble(number);
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) position++;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                writeString(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String separator = "";
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            writeString(string, out);
        } else {
            out.append(value);
        }
    }

    private static void writeString(String value, StringBuilder out) {
        out.append('"');
        for (char c : value.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        out.append('"');
    }
}
