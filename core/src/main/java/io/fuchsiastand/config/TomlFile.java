package io.fuchsiastand.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/**
 * A TOML file and the problems found in it so far. The methods that read a value return a fallback if the value is
 * invalid, so that one pass over the file reports as many problems as possible, each with file and line.
 */
public final class TomlFile {

    private static final TomlMapper MAPPER = new TomlMapper();
    private static final Pattern TABLE_HEADER = Pattern.compile("^\\s*\\[\\[?\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?$");
    private static final Pattern KEY_LINE = Pattern.compile("^\\s*([A-Za-z0-9_\\-\\.\"']+)\\s*=.*$");
    private static final Pattern DURATION = Pattern.compile("(\\d+)\\s*(ms|s|m|h)");

    private final String name;
    private final JsonNode root;
    private final Map<String, Integer> lineNumbers = new HashMap<>();
    private final List<Problem> problems = new ArrayList<>();

    /**
     * Parses a file.
     *
     * @param name the name of the file, which problems contain
     * @param text the content of the file
     */
    public TomlFile(String name, String text) {
        this.name = name;
        JsonNode parsed = JsonNodeFactory.instance.objectNode();
        try {
            parsed = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : Math.max(0, e.getLocation().getLineNr());
            problems.add(new Problem(name, line, e.getOriginalMessage()));
        }
        root = parsed;
        indexLines(text);
    }

    /**
     * Returns the parsed content.
     *
     * @return the root table, empty if the file could not be parsed
     */
    public JsonNode root() {
        return root;
    }

    /**
     * Returns the problems found so far.
     *
     * @return a live list, which later problems are added to
     */
    public List<Problem> problems() {
        return problems;
    }

    /**
     * Adds a problem.
     *
     * @param path the dotted path of the key, where the index of an array element, from 0, is one part
     * @param message a description of the problem
     */
    public void addProblem(String path, String message) {
        problems.add(problemAt(path, message));
    }

    /**
     * Describes a problem without adding it.
     *
     * @param path the dotted path of the key
     * @param message a description of the problem
     * @return the problem with the line of the key, or of the nearest table around it
     */
    public Problem problemAt(String path, String message) {
        return new Problem(name, lineOf(path), message);
    }

    /**
     * Adds a problem for each key of a table that is not allowed there.
     *
     * @param path the dotted path of the table
     * @param table the table
     * @param allowed the allowed keys
     */
    public void checkKeys(String path, JsonNode table, Set<String> allowed) {
        table.fieldNames().forEachRemaining(k -> {
            if (!allowed.contains(k)) {
                addProblem(join(path, k), "unknown key '" + k + "'; allowed keys: " + String.join(", ", allowed));
            }
        });
    }

    /**
     * Reads a string.
     *
     * @param path the dotted path of the table
     * @param table the table
     * @param key the key
     * @param fallback the value if the key is missing; null makes the key required
     * @return the string, or the fallback if the value is missing or invalid
     */
    public String text(String path, JsonNode table, String key, String fallback) {
        JsonNode v = table.get(key);
        if (v == null) {
            if (fallback == null) {
                addProblem(path, "missing key '" + key + "'");
            }
            return fallback;
        }
        if (!v.isTextual() || v.asText().isBlank()) {
            addProblem(join(path, key), "'" + key + "' must be a non-blank string");
            return fallback;
        }
        return v.asText();
    }

    /**
     * Reads a number within bounds.
     *
     * @param path the dotted path of the table
     * @param table the table
     * @param key the key
     * @param fallback the value if the key is missing; empty makes the key required
     * @param min the smallest allowed value
     * @param max the largest allowed value
     * @return the number, or the fallback if the value is missing or invalid; {@code min} if there is no fallback
     */
    public double number(String path, JsonNode table, String key, OptionalDouble fallback, double min, double max) {
        JsonNode v = table.get(key);
        if (v == null) {
            if (fallback.isEmpty()) {
                addProblem(path, "missing key '" + key + "'");
            }
            return fallback.orElse(min);
        }
        double d = v.isNumber() ? v.asDouble() : Double.NaN;
        if (!(d >= min && d <= max)) {
            addProblem(join(path, key), "'" + key + "' must be a number from " + format(min) + " to " + format(max));
            return fallback.orElse(min);
        }
        return d;
    }

    /**
     * Reads a boolean.
     *
     * @param path the dotted path of the table
     * @param table the table
     * @param key the key
     * @param fallback the value if the key is missing
     * @return the value, or the fallback if the value is missing or invalid
     */
    public boolean flag(String path, JsonNode table, String key, boolean fallback) {
        JsonNode v = table.get(key);
        if (v == null) {
            return fallback;
        }
        if (!v.isBoolean()) {
            addProblem(join(path, key), "'" + key + "' must be true or false");
            return fallback;
        }
        return v.asBoolean();
    }

    /**
     * Reads a duration such as {@code "250ms"}, {@code "10s"}, {@code "2m"} or {@code "6h"}.
     *
     * @param path the dotted path of the table
     * @param table the table
     * @param key the key
     * @param fallback the value if the key is missing
     * @return the duration, or the fallback if the value is missing or invalid
     */
    public Duration duration(String path, JsonNode table, String key, Duration fallback) {
        JsonNode v = table.get(key);
        if (v == null) {
            return fallback;
        }
        Matcher m = DURATION.matcher(v.asText());
        if (!v.isTextual() || !m.matches() || m.group(1).length() > 9) {
            addProblem(
                    join(path, key), "'" + key + "' must be a duration such as \"250ms\", \"10s\", \"2m\" or \"6h\"");
            return fallback;
        }
        long n = Long.parseLong(m.group(1));
        return switch (m.group(2)) {
            case "ms" -> Duration.ofMillis(n);
            case "s" -> Duration.ofSeconds(n);
            case "m" -> Duration.ofMinutes(n);
            default -> Duration.ofHours(n);
        };
    }

    /**
     * Reads a string that is one of a set of words.
     *
     * @param path the dotted path of the table
     * @param table the table
     * @param key the key
     * @param words the values by the allowed words
     * @param fallback the value if the key is missing
     * @param <T> the type of the value
     * @return the value, or the fallback if the value is missing or invalid
     */
    public <T> T choice(String path, JsonNode table, String key, Map<String, T> words, T fallback) {
        JsonNode v = table.get(key);
        if (v == null) {
            return fallback;
        }
        T value = words.get(v.asText());
        if (value == null) {
            addProblem(join(path, key), "'" + key + "' must be one of " + String.join(", ", words.keySet()));
            return fallback;
        }
        return value;
    }

    /**
     * Reads a table that is nested in another table.
     *
     * @param path the dotted path of the outer table
     * @param table the outer table
     * @param key the key of the nested table
     * @return the nested table, or an empty one if the value is missing or not a table
     */
    public JsonNode table(String path, JsonNode table, String key) {
        JsonNode v = table.get(key);
        if (v != null && !v.isObject()) {
            addProblem(join(path, key), "'" + key + "' must be a table");
        }
        return v != null && v.isObject() ? v : JsonNodeFactory.instance.objectNode();
    }

    /**
     * Joins a path and a key.
     *
     * @param path a dotted path, empty for the root
     * @param key a key
     * @return the dotted path of the key
     */
    public static String join(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private int lineOf(String path) {
        String p = path;
        while (!p.isEmpty()) {
            Integer n = lineNumbers.get(p);
            if (n != null) {
                return n;
            }
            int dot = p.lastIndexOf('.');
            p = dot < 0 ? "" : p.substring(0, dot);
        }
        return 0;
    }

    // The parser does not report the line of a key, so this method finds table headers and keys in the text. It expects
    // at most one of them on each line.
    private void indexLines(String text) {
        Map<String, Integer> elements = new HashMap<>();
        String table = "";
        int n = 0;
        for (String line : text.split("\n", -1)) {
            n++;
            Matcher t = TABLE_HEADER.matcher(line);
            if (t.matches()) {
                table = t.group(1).replaceAll("[\"'\\s]", "");
                if (line.stripLeading().startsWith("[[")) {
                    int i = elements.merge(table, 1, Integer::sum) - 1;
                    table = table + "." + i;
                }
                lineNumbers.putIfAbsent(table, n);
                continue;
            }
            Matcher k = KEY_LINE.matcher(line);
            if (k.matches()) {
                lineNumbers.putIfAbsent(join(table, k.group(1).replaceAll("[\"']", "")), n);
            }
        }
    }

    private static String format(double d) {
        return d == Math.rint(d) && Math.abs(d) < 1e15 ? Long.toString((long) d) : Double.toString(d);
    }
}
