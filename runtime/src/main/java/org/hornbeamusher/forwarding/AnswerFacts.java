package org.hornbeamusher.forwarding;

import java.util.Optional;
import org.hornbeamusher.ratelimit.StatedLimit;

/**
 * What the head of an endpoint's answer says.
 *
 * @param requestId the request it answers, where it says so
 * @param signed whether the endpoint vouches for it
 * @param notRun whether the endpoint says that it did not run the request
 * @param limit the rate of requests that the endpoint takes
 */
public record AnswerFacts(
    Optional<String> requestId, boolean signed, boolean notRun, StatedLimit limit) {}
