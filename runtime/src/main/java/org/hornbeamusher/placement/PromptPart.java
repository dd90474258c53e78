package org.hornbeamusher.placement;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id identifies the content; equal for equal content
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
