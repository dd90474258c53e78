package org.hornbeamusher.retry;

import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.Outcome;

/**
 * An attempt that failed.
 *
 * @param type how
 * @param outcome what is known about the run
 * @param repeatable whether the request may run more than once
 * @param attempts attempts of the request so far, this one included
 * @param crashes endpoints that crashed while they ran the request
 * @param remainingMillis time until the request's deadline
 * @param bytesDelivered whether the caller has received any part of an answer
 */
public record AttemptFailure(
    FailureType type,
    Outcome outcome,
    boolean repeatable,
    int attempts,
    int crashes,
    long remainingMillis,
    boolean bytesDelivered) {}
