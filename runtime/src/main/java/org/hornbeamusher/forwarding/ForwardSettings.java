package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.hornbeamusher.directory.ListSettings;
import org.hornbeamusher.quota.QuotaTolerance;
import org.hornbeamusher.routes.RevocationBounds;

/**
 * The settings of an entry.
 *
 * @param instance name of the instance
 * @param zone availability zone of the instance
 * @param callers address of the listener for callers
 * @param readiness address of the readiness check
 * @param metrics address of the metrics listener; empty for none
 * @param agentPort the port of every agent
 * @param drainMillis maximum duration of a drain
 * @param list settings for reading the list of endpoints
 * @param holdMillis longest time that callers wait for the configuration at startup
 * @param repeats limits of retries
 * @param revocation how soon a revoked key is refused
 * @param quotas tolerated overshoot of the quotas of client accounts
 */
public record ForwardSettings(
    String instance,
    String zone,
    InetSocketAddress callers,
    InetSocketAddress readiness,
    Optional<InetSocketAddress> metrics,
    int agentPort,
    long drainMillis,
    ListSettings list,
    long holdMillis,
    RepeatSettings repeats,
    RevocationBounds revocation,
    QuotaTolerance quotas) {}
