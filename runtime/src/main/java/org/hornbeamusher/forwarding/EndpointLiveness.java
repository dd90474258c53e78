package org.hornbeamusher.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;

/**
 * When the incarnations of endpoints were last known to run, and which have ended recently. Knows
 * the latest incarnation of each endpoint. Confined to the event loop.
 *
 * <p>Responses name the endpoint but not its incarnation. So what arrives after the end of an
 * incarnation may come from the next one and does not count.
 */
final class EndpointLiveness {

  /** The time of an incarnation of which nothing was received; earlier than all others. */
  static final long NEVER = Long.MIN_VALUE / 2;

  /** More than the endpoints of one deployment. */
  private static final int MAX_ENDPOINTS = 4_096;

  private final long endRetentionMillis;
  private final Map<EndpointId, Seen> seen = bounded();

  /** The recent ends. Agents and the list may report one before lost connections are noticed. */
  private final Map<EndpointId, End> ends = bounded();

  EndpointLiveness(long endRetentionMillis) {
    this.endRetentionMillis = endRetentionMillis;
  }

  private static <V> Map<EndpointId, V> bounded() {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<EndpointId, V> eldest) {
        return size() > MAX_ENDPOINTS;
      }
    };
  }

  /** Called when something was received that shows that an incarnation runs. */
  void seen(EndpointIncarnation endpoint, long now) {
    if (ends.isEmpty() || end(endpoint, now).isEmpty()) {
      seen.put(endpoint.id(), new Seen(endpoint, now));
    }
  }

  /** Returns when an incarnation was last seen; {@link #NEVER} if it was not. */
  long lastSeenMillis(EndpointIncarnation endpoint) {
    Seen last = seen.get(endpoint.id());
    return last != null && last.endpoint().maybeSameAs(endpoint) ? last.atMillis() : NEVER;
  }

  /**
   * Called when an incarnation has ended.
   *
   * @param successorRuns whether that is known because the next incarnation runs
   */
  void ended(EndpointIncarnation endpoint, boolean successorRuns, long now) {
    ends.put(endpoint.id(), new End(endpoint, successorRuns, now));
  }

  /** Returns the recent end of an incarnation. */
  Optional<End> end(EndpointIncarnation endpoint, long now) {
    End end = ends.get(endpoint.id());
    if (end != null && now - end.atMillis() >= endRetentionMillis) {
      ends.remove(endpoint.id());
      return Optional.empty();
    }
    return Optional.ofNullable(end).filter(last -> last.endpoint().maybeSameAs(endpoint));
  }

  private record Seen(EndpointIncarnation endpoint, long atMillis) {}

  /**
   * The end of an incarnation.
   *
   * @param endpoint the incarnation
   * @param successorRuns whether the next incarnation ran already
   * @param atMillis when it was noticed
   */
  record End(EndpointIncarnation endpoint, boolean successorRuns, long atMillis) {}
}
