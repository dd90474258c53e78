package org.hornbeamusher.holdings;

/**
 * What an engine has to do, as far as it concerns where the next request goes.
 *
 * @param requests running or waiting
 * @param unreadTokens of their prompts
 * @param sparePlaces places that a load could have at once, less adapters that wait for one;
 *     negative when adapters wait for a place
 */
public record EngineLoad(int requests, long unreadTokens, int sparePlaces) {}
