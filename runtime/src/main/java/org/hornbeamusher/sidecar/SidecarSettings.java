package org.hornbeamusher.sidecar;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.hornbeamusher.features.ServingFeatures;

/**
 * Settings of an agent beside an engine.
 *
 * @param instance the instance's name
 * @param zone its availability zone
 * @param listenAddress address where entries connect
 * @param metricsAddress address where it serves its metrics
 * @param engine the engine's address, host and port joined by a hyphen; key of its row of fencing
 *     numbers, and identifies the agent's endpoint in the endpoint lists of the entries
 * @param features the features of serving that are used
 */
public record SidecarSettings(
    String instance,
    String zone,
    InetSocketAddress listenAddress,
    Optional<InetSocketAddress> metricsAddress,
    String engine,
    ServingFeatures features) {}
