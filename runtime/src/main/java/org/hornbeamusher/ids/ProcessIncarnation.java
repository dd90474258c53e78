package org.hornbeamusher.ids;

/**
 * Tells a process from an earlier one at the same address.
 *
 * @param value drawn at random when the process starts
 */
public record ProcessIncarnation(long value) {}
