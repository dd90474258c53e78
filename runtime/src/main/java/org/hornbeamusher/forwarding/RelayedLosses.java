package org.hornbeamusher.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.quarantine.CrashSuspect;

/**
 * The lost connections of other entries that ended before they knew whether the endpoints had
 * crashed. Each waits until its endpoint ends or responds, or a time limit has passed.
 */
final class RelayedLosses {

  private static final int MAX_LOSSES = 1_000;

  private final long maxAgeMillis;
  private final List<Loss> losses = new ArrayList<>();

  RelayedLosses(long maxAgeMillis) {
    this.maxAgeMillis = maxAgeMillis;
  }

  void add(EndpointIncarnation endpoint, Set<CrashSuspect> suspects, long now) {
    losses.removeIf(each -> now - each.atMillis() >= maxAgeMillis);
    if (losses.size() < MAX_LOSSES) {
      losses.add(new Loss(endpoint, suspects, now));
    }
  }

  /** Called when an endpoint has responded to a request. */
  void responded(EndpointIncarnation endpoint, long sentMillis) {
    if (!losses.isEmpty()) {
      losses.removeIf(
          each -> each.endpoint().maybeSameAs(endpoint) && sentMillis > each.atMillis());
    }
  }

  /** Removes and returns the losses at an endpoint that has ended. */
  List<Loss> removeAt(EndpointIncarnation endpoint) {
    List<Loss> removed =
        losses.stream().filter(each -> each.endpoint().maybeSameAs(endpoint)).toList();
    losses.removeAll(removed);
    return removed;
  }

  /**
   * A lost connection.
   *
   * @param endpoint where the connection led
   * @param suspects what the request has in common with others
   * @param atMillis when an agent reported it
   */
  record Loss(EndpointIncarnation endpoint, Set<CrashSuspect> suspects, long atMillis) {

    /** Copies the set. */
    Loss {
      suspects = Set.copyOf(suspects);
    }
  }
}
