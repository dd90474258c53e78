package org.hornbeamusher.entry;

import org.hornbeamusher.ids.EndpointId;

/**
 * What is known when an answer begins.
 *
 * @param endpoint where it runs
 * @param adapter {@code service/adapter@version}, empty for a plain service
 * @param loadStallMillis how long the request waited for a load
 * @param status the endpoint's HTTP status
 * @param contentType the endpoint's content type
 */
record AnswerHead(
    EndpointId endpoint, String adapter, long loadStallMillis, int status, String contentType) {}
