package org.hornbeamusher.directory;

/**
 * One entry of the list of endpoints: an endpoint or an unusable entry.
 *
 * <p>Other programs than the endpoints can write to the list. Missing fields get no default values:
 * with a missing state taken as "in service", requests would be sent to an endpoint that may not
 * exist.
 */
public sealed interface ListedEntry permits Endpoint, UnusableEntry {}
