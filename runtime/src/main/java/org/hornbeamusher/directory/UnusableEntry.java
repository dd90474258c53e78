package org.hornbeamusher.directory;

import java.util.OptionalLong;

/**
 * An entry of the list that does not describe a valid endpoint.
 *
 * @param key its key in the list, which may be the id of an endpoint
 * @param reason what is wrong with it
 * @param revision the list's revision at which it was written, if it is readable
 */
public record UnusableEntry(String key, String reason, OptionalLong revision)
    implements ListedEntry {}
