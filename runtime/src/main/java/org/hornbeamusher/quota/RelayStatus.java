package org.hornbeamusher.quota;

/**
 * What a relay knows of the entries.
 *
 * @param answeredMillis when this entry sent the last report that the relay had received
 * @param knownMillis for how long it has added up usage
 * @param reachable number of entries that report to it
 * @param entries number of entries that share the quotas, as counted by it
 */
public record RelayStatus(long answeredMillis, long knownMillis, int reachable, int entries) {}
