package org.hyssoprouter.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.hyssoprouter.errors.Refusal;

/** Reads and writes the JSON bodies of the API. Parsing is strict; errors name the field. */
final class JsonBody {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .build();

    private JsonBody() {}

    /**
     * Parses a request body.
     *
     * @throws RefusalException naming the invalid field and the expected value
     */
    static <T> T read(byte[] bytes, Class<T> type) {
        ObjectReader reader = MAPPER.readerFor(type);
        try {
            T value = reader.readValue(bytes);
            if (value == null) {
                throw new RefusalException(Refusal.invalidField("body", "expected a JSON object"));
            }
            return value;
        } catch (UnrecognizedPropertyException e) {
            throw badField(fieldPath(e), "is not a known field");
        } catch (InvalidFormatException e) {
            throw badField(fieldPath(e), expectation(e.getTargetType()));
        } catch (JsonMappingException e) {
            throw badField(
                    fieldPath(e), "has the wrong type, or is null where a value is required");
        } catch (JsonProcessingException e) {
            throw badField("body", "is not valid JSON at " + locationOf(e));
        } catch (IOException e) {
            throw badField("body", "could not be read");
        }
    }

    /** Serializes a value. */
    static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize " + value.getClass().getName(), e);
        }
    }

    private static RefusalException badField(String field, String expectation) {
        return new RefusalException(Refusal.invalidField(field, expectation));
    }

    private static String locationOf(JsonProcessingException e) {
        if (e.getLocation() == null) {
            return "an unknown location";
        }
        return "line " + e.getLocation().getLineNr() + " column " + e.getLocation().getColumnNr();
    }

    private static String fieldPath(JsonMappingException e) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference reference : e.getPath()) {
            if (reference.getFieldName() == null) {
                path.append('[').append(reference.getIndex()).append(']');
                continue;
            }
            if (!path.isEmpty()) {
                path.append('.');
            }
            path.append(reference.getFieldName());
        }
        return path.isEmpty() ? "body" : path.toString();
    }

    private static String expectation(Class<?> type) {
        if (type.isEnum()) {
            List<String> names =
                    Arrays.stream(type.getEnumConstants()).map(Object::toString).toList();
            return "expected one of " + String.join(", ", names).toLowerCase(Locale.ROOT);
        }
        if (type == int.class || type == long.class) {
            return "expected a whole number";
        }
        return "expected a value of type " + type.getSimpleName().toLowerCase(Locale.ROOT);
    }
}
