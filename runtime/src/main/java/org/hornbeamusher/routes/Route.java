package org.hornbeamusher.routes;

import java.util.List;

/**
 * One route of the configuration.
 *
 * @param name the route's name
 * @param host the host it serves
 * @param prefix the beginning of its paths; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time a caller is kept waiting
 * @param targetLatencyMillis the time within which an answer is of full use
 * @param rank 0 is the most urgent
 * @param targets the services that share its requests; never empty
 * @param attempts at how many endpoints one request may be tried; at least 1
 * @param resumable whether another endpoint may go on with a stream that broke off
 * @param patienceMillis how long a caller waits for the first event of a stream, or the next one
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
    int attempts,
    boolean resumable,
    long patienceMillis,
    boolean anonymous) {

  /** Copies the list. */
  public Route {
    targets = List.copyOf(targets);
  }

  /**
   * Tells whether a request whose fate is unknown may be sent again.
   *
   * @return false when a second run would do harm
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
   * @param hash the request's hash; the same one always gives the same service
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
