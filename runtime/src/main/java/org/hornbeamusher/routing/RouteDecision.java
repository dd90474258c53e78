package org.hornbeamusher.routing;

import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.EndpointId;

/** Where an attempt goes. */
public sealed interface RouteDecision {

  /**
   * The attempt goes to an endpoint.
   *
   * @param endpoint where
   * @param estimatedMillis expected time until its first token
   */
  record SendTo(EndpointId endpoint, long estimatedMillis) implements RouteDecision {}

  /**
   * No endpoint can take the attempt.
   *
   * @param type why
   * @param retryAfterMillis when it may be tried again
   */
  record Refuse(FailureType type, long retryAfterMillis) implements RouteDecision {}
}
