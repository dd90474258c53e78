package org.hornbeamusher.directory;

import java.util.OptionalLong;

/**
 * An entry of the list that is no word of an endpoint.
 *
 * @param key what it is listed under; perhaps the id of an endpoint
 * @param reason what is wrong with it
 * @param revision the list's revision at which it was written, where that can be read
 */
public record UnusableEntry(String key, String reason, OptionalLong revision)
    implements ListedEntry {}
