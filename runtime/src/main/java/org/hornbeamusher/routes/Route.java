package org.hornbeamusher.routes;

import java.util.List;

/**
 * One route of the configuration.
 *
 * @param name the route's name
 * @param host the host it serves
 * @param prefix the beginning of its paths; begins and ends with a slash
 * @param kind determines whether its requests may be retried
 * @param timeoutMillis maximum time that a caller waits for a response
 * @param targetLatencyMillis the time within which a response is of full value to the caller
 * @param rank priority; 0 is the most urgent
 * @param targets the services that share its requests; never empty
 * @param maxAttempts maximum number of endpoints at which a request is tried; at least 1
 * @param resumable whether another endpoint may continue an interrupted stream
 * @param eventTimeoutMillis how long a caller waits for the first event of a stream, or the next
 *     one
 * @param anonymous whether its callers need no key of a client account
 */
public record Route(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    long timeoutMillis,
    long targetLatencyMillis,
    int rank,
    List<WeightedTarget> targets,
    int maxAttempts,
    boolean resumable,
    long eventTimeoutMillis,
    boolean anonymous) {

  /** Copies the list. */
  public Route {
    targets = List.copyOf(targets);
  }

  /**
   * Returns whether a request with an unknown outcome may be sent again.
   *
   * @return false if a second run could do harm
   */
  public boolean repeatable() {
    return switch (kind) {
      case IDEMPOTENT -> true;
      case NON_IDEMPOTENT -> false;
      case STREAMING -> resumable;
    };
  }

  /**
   * Chooses the service of a request.
   *
   * @param hash the request's hash; equal hashes give the same service
   * @return the name of the service
   */
  public String service(long hash) {
    int total = targets.stream().mapToInt(WeightedTarget::weight).sum();
    if (total <= 0) {
      return targets.get(0).service();
    }
    long point = Long.remainderUnsigned(hash, total);
    for (WeightedTarget target : targets) {
      point -= target.weight();
      if (point < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
