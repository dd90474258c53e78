package org.hornbeamusher.quota;

import java.util.List;

/**
 * What a relay knows of the entries.
 *
 * @param answeredMillis when this entry sent the last report that the relay had received
 * @param knownMillis for how long it has added up usage
 * @param settledMillis for how long no entry has connected to it that it did not know
 * @param reachable number of entries that report to it
 * @param entries number of entries that share the quotas, as counted by it
 * @param silentEntries names of entries that do not report to it; not all if they are many
 * @param hidden whether one of the entries that report to it may not know the usage of this one
 */
public record RelayStatus(
    long answeredMillis,
    long knownMillis,
    long settledMillis,
    int reachable,
    int entries,
    List<String> silentEntries,
    boolean hidden) {}
