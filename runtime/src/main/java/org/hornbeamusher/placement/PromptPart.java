package org.hornbeamusher.placement;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id the same for the same content
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
