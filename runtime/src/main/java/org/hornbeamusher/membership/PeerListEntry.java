package org.hornbeamusher.membership;

/**
 * One instance in the platform's list, which may be out of date.
 *
 * @param address the address on which the peer listens, for example {@code 10.1.2.3:7400}
 * @param instance the platform's id of the instance; a replacement at the same address has another
 * @param leaving whether the platform has marked the instance as leaving
 */
public record PeerListEntry(String address, String instance, boolean leaving) {}
