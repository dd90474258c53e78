package org.hornbeamusher.ids;

/**
 * Distinguishes a process from earlier ones at the same address.
 *
 * @param value random number generated when the process starts
 */
public record ProcessIncarnation(long value) {}
