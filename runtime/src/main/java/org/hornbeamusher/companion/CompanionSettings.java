package org.hornbeamusher.companion;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * What an agent beside an engine needs to know of its instance.
 *
 * @param instance the instance's name
 * @param zone its availability zone
 * @param entries where entries connect
 * @param metrics where it serves its metrics
 * @param engine the engine's address, host and port joined by a hyphen; names its row of fencing
 *     numbers, and tells entries which endpoint of their list the agent stands beside
 */
public record CompanionSettings(
    String instance,
    String zone,
    InetSocketAddress entries,
    Optional<InetSocketAddress> metrics,
    String engine) {}
