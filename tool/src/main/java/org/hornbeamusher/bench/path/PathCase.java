package org.hornbeamusher.bench.path;

/**
 * A load that is sent on both paths.
 *
 * @param name description for the report
 * @param batch maximum number of requests that the engine runs concurrently
 * @param tokenMicros microseconds per token of a request that runs alone
 * @param tokens number of tokens per response
 * @param requestsPerSecond rate of requests; 0 sends the next when a response is complete
 * @param inFlight maximum number of requests in flight
 * @param requests number of requests per round
 */
record PathCase(
    String name,
    int batch,
    long tokenMicros,
    int tokens,
    double requestsPerSecond,
    int inFlight,
    int requests) {}
