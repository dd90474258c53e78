package org.hornbeamusher.quota;

import java.util.List;

/**
 * What an entry knows of the usage of the others, for all accounts alike.
 *
 * @param coverage of how many entries the usage is known
 * @param reachable number of entries whose usage is known, including this one
 * @param entries number of entries that share the quotas
 * @param unknown number of entries whose usage may not be known, as far as their names are known
 * @param windowKnown whether a relay has added up usage for a whole window
 * @param connectedRelays number of agents that are connected and could relay
 * @param reportingRelays number of relays whose last update arrived recently
 * @param currentRelays names of the relays of these whose last update answers a recent report
 * @param knownMillis the longest for which one of these has added up usage; -1 if there is none
 * @param updateAgeMillis age of the newest update of a connected relay; -1 if there is none
 */
public record QuotaView(
    UsageCoverage coverage,
    int reachable,
    int entries,
    int unknown,
    boolean windowKnown,
    int connectedRelays,
    int reportingRelays,
    List<String> currentRelays,
    long knownMillis,
    long updateAgeMillis) {}
