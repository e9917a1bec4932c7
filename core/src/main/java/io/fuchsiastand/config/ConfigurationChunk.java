package io.fuchsiastand.config;

import java.util.List;

/**
 * A chunk of a configuration. Each chunk is stored in the platform as one object whose name contains the digest of its
 * content. A stored chunk therefore never changes, and an edit of one service, plan or team that keeps its name writes
 * only one new chunk and the index.
 *
 * @param services the services in this chunk
 * @param plans the plans in this chunk
 * @param teams the teams in this chunk
 * @param limits the limits on the requests of callers, or null if another chunk contains them
 */
public record ConfigurationChunk(List<Service> services, List<Plan> plans, List<Team> teams, RequestLimits limits) {}
