package org.hornbeamusher.quota;

/**
 * What one relay states of the usage of a client account by the other entries.
 *
 * @param relay the name of the relay
 * @param connected whether the connection by which it was stated is open
 * @param units units used in the window
 */
public record StatedUnits(String relay, boolean connected, long units) {}
