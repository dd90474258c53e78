package org.hornbeamusher.entry;

import org.hornbeamusher.ids.EndpointId;

/**
 * Metadata that is known when a response begins.
 *
 * @param endpoint the endpoint that runs the request
 * @param adapter {@code service/adapter@version}, empty for a plain service
 * @param loadStallMillis how long the request waited for an adapter load
 * @param status the endpoint's HTTP status
 * @param contentType the endpoint's content type
 */
record ResponseHead(
    EndpointId endpoint, String adapter, long loadStallMillis, int status, String contentType) {}
