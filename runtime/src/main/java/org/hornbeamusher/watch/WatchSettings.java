package org.hornbeamusher.watch;

/**
 * How closely a table is followed.
 *
 * @param waitMillis how long the service holds a question for which it has nothing new; 0 asks for
 *     all rows each time instead
 * @param pauseMillis between an answer and the next question
 * @param retryMillis after a question that failed
 * @param staleMillis how old what is known may become before that is logged
 */
public record WatchSettings(
    long waitMillis, long pauseMillis, long retryMillis, long staleMillis) {}
