package org.hornbeamusher.routes;

import java.util.Optional;

/**
 * One service of the configuration.
 *
 * @param name the service's name
 * @param healthPath path of the health check, whose response also contains the endpoint's id
 * @param maxConnections connections that an endpoint accepts from all callers together
 * @param engine the properties of its engines; empty for a plain service
 */
public record ServiceSpec(
    String name, String healthPath, int maxConnections, Optional<EngineSpec> engine) {}
