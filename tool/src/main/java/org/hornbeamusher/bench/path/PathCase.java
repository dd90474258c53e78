package org.hornbeamusher.bench.path;

/**
 * One load that is sent both ways.
 *
 * @param name describes it
 * @param batch requests the engine runs at once
 * @param tokenMicros microseconds between two tokens of a request that runs alone
 * @param tokens length of each answer
 * @param requestsPerSecond rate at which requests are due; 0 sends the next when one is answered
 * @param inFlight most requests without an answer
 * @param requests how many requests a round sends
 */
record PathCase(
    String name,
    int batch,
    long tokenMicros,
    int tokens,
    double requestsPerSecond,
    int inFlight,
    int requests) {}
