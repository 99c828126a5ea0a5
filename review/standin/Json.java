import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer of the stand-ins; numbers without a fraction are longs. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.mAt != text.length()) {
            throw new IllegalArgumentException("text after JSON value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isEmpty() ? new LinkedHashMap<>() : (Map<String, Object>) parse(text);
    }

    static long number(Map<String, Object> map, String key, long absent) {
        Object value = map.get(key);
        return value instanceof Number n ? n.longValue() : absent;
    }

    static String text(Map<String, Object> map, String key) {
        Object value = map.get(key);
        return value instanceof String s ? s : "";
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Map<String, Object> map, String key) {
        Object value = map.get(key);
        return value instanceof List<?> l ? (List<Map<String, Object>>) l : List.of();
    }

    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String comma = "";
            for (Object item : list) {
                out.append(comma);
                write(item, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String text) {
            out.append('"');
            for (int i = 0; i < text.length(); i++) {
                char c = text.charAt(i);
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < 0x20) {
                    out.append("\\u%04x".formatted((int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private void space() {
        while (mAt < mText.length() && Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
    }

    private Object value() {
        space();
        char c = mText.charAt(mAt);
        switch (c) {
            case '{':
                return map();
            case '[':
                return list();
            case '"':
                return string();
            case 't':
                mAt += 4;
                return true;
            case 'f':
                mAt += 5;
                return false;
            case 'n':
                mAt += 4;
                return null;
            default:
                int start = mAt;
                while (mAt < mText.length() && "+-.eE0123456789".indexOf(mText.charAt(mAt)) >= 0) {
                    mAt++;
                }
                String digits = mText.substring(start, mAt);
                if (digits.matches("-?\\d+")) {
                    return Long.parseLong(digits);
                }
                return Double.parseDouble(digits);
        }
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        mAt++;
        space();
        if (mText.charAt(mAt) == '}') {
            mAt++;
            return map;
        }
        while (true) {
            space();
            String key = string();
            space();
            mAt++;
            map.put(key, value());
            space();
            if (mText.charAt(mAt++) == '}') {
                return map;
            }
        }
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        mAt++;
        space();
        if (mText.charAt(mAt) == ']') {
            mAt++;
            return list;
        }
        while (true) {
            list.add(value());
            space();
            if (mText.charAt(mAt++) == ']') {
                return list;
            }
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        mAt++;
        while (true) {
            char c = mText.charAt(mAt++);
            if (c == '"') {
                return out.toString();
            }
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = mText.charAt(mAt++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(mText.substring(mAt, mAt + 4), 16));
                    mAt += 4;
                }
                default -> out.append(escaped);
            }
        }
    }
}
