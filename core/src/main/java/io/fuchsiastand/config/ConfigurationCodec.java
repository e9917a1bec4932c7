package io.fuchsiastand.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.key.Digests;

/**
 * Splits a configuration into at most 105 chunks, so that each normally stays below the platform's limit on the size of
 * a value, and joins the chunks again.
 */
public final class ConfigurationCodec {

    /** Name of the object that holds the {@link ConfigurationIndex}. */
    public static final String INDEX_NAME = "config/index";
    /**
     * Name of a record without content. Its version is the version of the configuration that is in force on the daemon
     * that holds the record.
     */
    public static final String VERSION_NAME = "config/version";
    /** Prefix of the names of the objects that hold a {@link ConfigurationChunk}. */
    public static final String CHUNK_PREFIX = "chunk/";

    private static final int SERVICE_CHUNKS = 32;
    private static final int PLAN_CHUNKS = 8;
    private static final int TEAM_CHUNKS = 64;

    private ConfigurationCodec() {}

    /**
     * Splits a configuration into chunks.
     *
     * @param configuration the configuration
     * @return the JSON of each chunk by its digest; equal configurations yield the same chunks in the same order
     */
    public static Map<String, byte[]> split(Configuration configuration) {
        Map<String, byte[]> chunks = new LinkedHashMap<>();
        groupByNameHash(configuration.services().values(), Service::name, SERVICE_CHUNKS)
                .forEach(l -> add(chunks, new ConfigurationChunk(l, List.of(), List.of(), null)));
        groupByNameHash(configuration.plans().values(), Plan::name, PLAN_CHUNKS)
                .forEach(l -> add(chunks, new ConfigurationChunk(List.of(), l, List.of(), null)));
        groupByNameHash(configuration.teams().values(), Team::name, TEAM_CHUNKS)
                .forEach(l -> add(chunks, new ConfigurationChunk(List.of(), List.of(), l, null)));
        add(chunks, new ConfigurationChunk(List.of(), List.of(), List.of(), configuration.limits()));
        return chunks;
    }

    /**
     * Joins the chunks of a configuration.
     *
     * @param version the version of the configuration
     * @param chunks the JSON of the chunks
     * @return the configuration
     * @throws FuchsiastandException with {@link ErrorCode#CORRUPT} if a chunk cannot be parsed
     */
    public static Configuration join(long version, Collection<byte[]> chunks) {
        Configuration.Builder b = Configuration.builder().version(version);
        for (byte[] bytes : chunks) {
            ConfigurationChunk c = Json.read(bytes, ConfigurationChunk.class);
            c.services().forEach(b::service);
            c.plans().forEach(b::plan);
            c.teams().forEach(b::team);
            if (c.limits() != null) {
                b.limits(c.limits());
            }
        }
        return b.build();
    }

    /**
     * Returns the name of the object that holds a chunk.
     *
     * @param digest the digest of the chunk
     * @return the name of the object
     */
    public static String chunkName(String digest) {
        return CHUNK_PREFIX + digest;
    }

    private static void add(Map<String, byte[]> chunks, ConfigurationChunk chunk) {
        byte[] bytes = Json.write(chunk);
        chunks.put(Digests.shortDigest(bytes), bytes);
    }

    private static <T> List<List<T>> groupByNameHash(Collection<T> items, Function<T, String> name, int count) {
        Map<Integer, List<T>> out = new TreeMap<>();
        items.stream().sorted(Comparator.comparing(name)).forEach(i -> out.computeIfAbsent(
                        Math.floorMod(name.apply(i).hashCode(), count), k -> new ArrayList<>())
                .add(i));
        return List.copyOf(out.values());
    }
}
