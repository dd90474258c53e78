package org.hornbeamusher.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.quarantine.CrashSuspect;
import org.hornbeamusher.quarantine.RequestContent;

/** The requests whose connections to one incarnation of an endpoint were lost. */
final class EndpointLosses {

  private final EndpointView endpoint;
  private final long firstMillis;

  /** The request that shows most about a crash, for each suspect. */
  private final Map<CrashSuspect, LostRequest> requests = new HashMap<>();

  private long lastMillis;
  private int checks;

  EndpointLosses(EndpointView endpoint, long now) {
    this.endpoint = endpoint;
    this.firstMillis = now;
  }

  EndpointView endpoint() {
    return endpoint;
  }

  EndpointIncarnation incarnation() {
    return endpoint.incarnation();
  }

  /** Returns when the first connection was lost. */
  long firstMillis() {
    return firstMillis;
  }

  /** Returns when the last connection was lost. */
  long lastMillis() {
    return lastMillis;
  }

  /** Returns the number of health checks that were sent. */
  int checks() {
    return checks;
  }

  void checkSent() {
    checks++;
  }

  /** Returns the request that shows most about a crash for a suspect. */
  Optional<LostRequest> request(CrashSuspect suspect) {
    return Optional.ofNullable(requests.get(suspect));
  }

  /** Returns the request that shows most about a crash, for each suspect. */
  Map<CrashSuspect, LostRequest> requests() {
    return Map.copyOf(requests);
  }

  void add(LostRequest lost) {
    for (CrashSuspect suspect : lost.suspects()) {
      requests.merge(suspect, lost, EndpointLosses::stronger);
    }
    lastMillis = lost.lostMillis();
  }

  private static LostRequest stronger(LostRequest one, LostRequest other) {
    if (one.mayBeCause() != other.mayBeCause()) {
      return one.mayBeCause() ? one : other;
    }
    boolean oneIsLater = one.sentMillis() > other.sentMillis();
    // If it depends on when the endpoint was last seen, an earlier send shows more.
    return one.mayBeCause() == oneIsLater ? one : other;
  }

  boolean mayContain(int bodyBytes) {
    return requests.keySet().stream()
        .anyMatch(
            suspect ->
                suspect instanceof RequestContent content && content.bodyBytes() == bodyBytes);
  }

  /** Returns the number of different requests. */
  long contents() {
    return requests.keySet().stream().filter(RequestContent.class::isInstance).count();
  }

  /** Returns the number of different requests for which the end of the endpoint counts. */
  long countedContents(long lastSeenMillis) {
    return requests.entrySet().stream()
        .filter(each -> each.getKey() instanceof RequestContent)
        .filter(each -> each.getValue().withLastSeen(lastSeenMillis).mayBeCause())
        .count();
  }
}
