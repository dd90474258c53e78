package org.hornbeamusher.routing;

import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.EndpointId;

/** The result of routing an attempt. */
public sealed interface RouteDecision {

  /**
   * The attempt is to be sent to an endpoint.
   *
   * @param endpoint the endpoint
   * @param estimatedMillis expected time until the first token
   */
  record SendTo(EndpointId endpoint, long estimatedMillis) implements RouteDecision {}

  /**
   * No endpoint can run the attempt.
   *
   * @param type the reason
   * @param retryAfterMillis time after which the request may be retried
   */
  record Refuse(FailureType type, long retryAfterMillis) implements RouteDecision {}
}
