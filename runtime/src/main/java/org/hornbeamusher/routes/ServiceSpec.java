package org.hornbeamusher.routes;

import java.util.Optional;

/**
 * One service of the configuration.
 *
 * @param name the service's name
 * @param healthPath where an endpoint says whether it is well, and which one it is
 * @param maxConnections connections an endpoint accepts from all callers together
 * @param engine what its engines are like; empty for a plain service
 */
public record ServiceSpec(
    String name, String healthPath, int maxConnections, Optional<EngineSpec> engine) {}
