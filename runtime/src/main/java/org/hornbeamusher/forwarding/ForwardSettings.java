package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.hornbeamusher.directory.EndpointListSettings;
import org.hornbeamusher.features.ServingFeatures;
import org.hornbeamusher.quota.QuotaTolerance;
import org.hornbeamusher.routes.RevocationBounds;

/**
 * The settings of an entry.
 *
 * @param instance name of the instance
 * @param zone availability zone of the instance
 * @param callerAddress address of the listener for callers
 * @param readinessAddress address of the readiness check
 * @param metricsAddress address of the metrics listener; empty for none
 * @param agentPort the port of every agent
 * @param engineCheckPath path that an engine answers at once, without a free slot
 * @param drainMillis maximum duration of a drain
 * @param list settings for reading the list of endpoints
 * @param maxStartupHoldMillis longest time that callers wait for the configuration at startup
 * @param versionGraceMillis how long a request that waits may still begin on a version of its
 *     adapter after a newer one was received
 * @param retries limits of retries
 * @param revocation how soon a revoked key is refused
 * @param quotas tolerated overshoot of the quotas of client accounts
 * @param features the features of serving that are used
 */
public record ForwardSettings(
    String instance,
    String zone,
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    Optional<InetSocketAddress> metricsAddress,
    int agentPort,
    String engineCheckPath,
    long drainMillis,
    EndpointListSettings list,
    long maxStartupHoldMillis,
    long versionGraceMillis,
    ServiceRetrySettings retries,
    RevocationBounds revocation,
    QuotaTolerance quotas,
    ServingFeatures features) {}
