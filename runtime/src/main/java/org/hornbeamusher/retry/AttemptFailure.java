package org.hornbeamusher.retry;

import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.Outcome;

/**
 * A failed attempt.
 *
 * @param type type of the failure
 * @param outcome whether the request ran, as far as known
 * @param repeatable whether the request may run more than once
 * @param attempts number of attempts of the request so far, including this one
 * @param crashes number of endpoints that crashed while running the request
 * @param remainingMillis time until the request's deadline
 * @param bytesDelivered whether the caller has received any part of a response
 */
public record AttemptFailure(
    FailureType type,
    Outcome outcome,
    boolean repeatable,
    int attempts,
    int crashes,
    long remainingMillis,
    boolean bytesDelivered) {}
