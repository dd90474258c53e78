package org.hornbeamusher.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamusher.ids.EndpointIncarnation;

/**
 * The lost requests of other entries that ended before they knew whether the endpoints had crashed.
 * Each waits until its endpoint ends or responds, or a time limit has passed.
 */
final class RelayedLosses {

  private static final int MAX_LOSSES = 1_000;

  private final long maxAgeMillis;
  private final List<Loss> losses = new ArrayList<>();

  RelayedLosses(long maxAgeMillis) {
    this.maxAgeMillis = maxAgeMillis;
  }

  void add(LostRequest request, long now) {
    losses.removeIf(each -> now - each.atMillis() >= maxAgeMillis);
    if (losses.size() < MAX_LOSSES) {
      losses.add(new Loss(request, now));
    }
  }

  /** Called when an endpoint has responded to a request. */
  void responded(EndpointIncarnation endpoint, long sentMillis) {
    if (!losses.isEmpty()) {
      losses.removeIf(
          each -> each.request().endpoint().maybeSameAs(endpoint) && sentMillis > each.atMillis());
    }
  }

  /** Removes and returns the requests that were lost at an endpoint that has ended. */
  List<LostRequest> removeAt(EndpointIncarnation endpoint) {
    List<Loss> removed =
        losses.stream().filter(each -> each.request().endpoint().maybeSameAs(endpoint)).toList();
    losses.removeAll(removed);
    return removed.stream().map(Loss::request).toList();
  }

  /** A lost request and when an agent reported it. */
  private record Loss(LostRequest request, long atMillis) {}
}
