package io.fuchsiastand.config;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;

/** Reads and writes values as JSON. */
public final class Json {

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new JavaTimeModule())
            .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
            .disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
            // Immutable maps iterate in an order that differs between processes. Sorted entries give a value the same
            // digest in every process.
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();

    private Json() {}

    /**
     * Writes a value as JSON.
     *
     * @param value a record or another value that maps to JSON
     * @return the JSON, encoded in UTF-8
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("a value of " + value.getClass() + " cannot be written as JSON", e);
        }
    }

    /**
     * Writes a value as indented JSON.
     *
     * @param value a record or another value that maps to JSON
     * @return the JSON text
     */
    public static String writeIndented(Object value) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("a value of " + value.getClass() + " cannot be written as JSON", e);
        }
    }

    /**
     * Reads a value from JSON.
     *
     * @param bytes the JSON, encoded in UTF-8
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value
     * @throws FuchsiastandException with {@link ErrorCode#CORRUPT} if the bytes are not valid JSON of this type, or are the
     *     JSON literal null
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        T out;
        try {
            out = MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new FuchsiastandException(
                    ErrorCode.CORRUPT, "the bytes are not valid JSON of type " + type.getSimpleName(), e);
        }
        if (out == null) {
            throw new FuchsiastandException(
                    ErrorCode.CORRUPT, "the bytes are null instead of a " + type.getSimpleName());
        }
        return out;
    }
}
