package org.hornbeamusher.membership;

/**
 * One line of the platform's list of instances, which lags.
 *
 * @param address where it listens, for example {@code 10.1.2.3:7400}
 * @param instance the platform's id of the instance; a replacement at the same address has another
 * @param leaving whether the platform says that it is going away
 */
public record PeerListEntry(String address, String instance, boolean leaving) {}
