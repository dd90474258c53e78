package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.hornbeamusher.directory.ListSettings;
import org.hornbeamusher.quota.QuotaTolerance;
import org.hornbeamusher.routes.RevocationBounds;

/**
 * What an entry needs to know of its instance.
 *
 * @param instance the instance's name
 * @param zone its availability zone
 * @param callers where callers connect
 * @param readiness where it says whether it takes callers
 * @param metrics where it serves its metrics
 * @param agentPort the port of every agent
 * @param drainMillis how long a leaving instance may take
 * @param list how the list of endpoints is read
 * @param holdMillis how long callers of an entry that starts wait for its configuration at the most
 * @param repeats how often requests may be sent again
 * @param revocation how soon a key that was taken away is of no use
 * @param quotas how the operators judge the quotas of client accounts
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
