package org.hornbeamusher.directory;

/**
 * One entry of the list of endpoints: an endpoint, or an entry that names none.
 *
 * <p>Others than the endpoints can write into the list. What such an entry lacks is not filled in:
 * a missing state read as "in service" would send requests to somebody who was never there.
 */
public sealed interface ListedEntry permits Endpoint, UnusableEntry {}
