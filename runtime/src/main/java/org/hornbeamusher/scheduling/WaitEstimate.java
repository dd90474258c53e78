package org.hornbeamusher.scheduling;

import java.util.Collection;
import java.util.List;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.PartnerId;

/**
 * Expects how long a request waits for a batch place and for its adapter.
 *
 * <p><b>The place.</b> While a place is free the wait is 0. Otherwise it is the time until the
 * first running request ends (one of its own partner's, when that fills its places), and then the
 * startable work of the request's own caller over that caller's part of the speed, or that of its
 * service or partner over theirs, whichever is least. So a small caller is let in while another's
 * backlog is minutes long. All work that waits over the whole speed is no bound: while another
 * partner floods the endpoint its new requests come before those of a partner at its share.
 *
 * <p><b>The load.</b> The loads that are ahead, each at the pace measured here, and its own. With
 * none ahead only the load itself counts: were the measured pace counted as well, a slow hour of
 * the store would have every request refused, no load tried, and the pace never measured again.
 */
final class WaitEstimate {

  private final SchedulerSettings settings;
  private final FairQueue queue;
  private final Residency residency;
  private final WorkEstimate work;
  private final LoadDemand demand;
  private final LoadPace pace;
  private final Collection<Waiting> running;

  WaitEstimate(
      SchedulerSettings settings,
      FairQueue queue,
      Residency residency,
      WorkEstimate work,
      LoadDemand demand,
      LoadPace pace,
      Collection<Waiting> running) {
    this.settings = settings;
    this.queue = queue;
    this.residency = residency;
    this.work = work;
    this.demand = demand;
    this.pace = pace;
    this.running = running;
  }

  /** Returns the wait of a request that is not in the queue yet, place and load together. */
  double waitMillis(QueuedRequest request, long now) {
    double load = request.adapter().map(ref -> loadWaitMillis(ref, now)).orElse(0.0);
    return Math.max(load, placeWaitMillis(request, now));
  }

  /** Returns the least time until a request's adapter can be there. */
  double leastLoadMillis(AdapterRef adapter, long now) {
    if (residency.resident(adapter)) {
      return 0;
    }
    return residency
        .loading()
        .filter(order -> order.adapter().equals(adapter))
        .map(order -> (double) Math.max(0, order.sinceMillis() + settings.loadMillis() - now))
        .orElse((double) settings.loadMillis());
  }

  /** Returns the wait for a batch place of a request whose caller has nothing waiting. */
  double newcomerPlaceWaitMillis(long now) {
    return batchFull() ? firstPlaceMillis(now) + allWork() : 0;
  }

  /** Returns the wait for the load of an adapter that nobody waits for yet. */
  double newcomerLoadWaitMillis() {
    return loadsAhead() * pace.turnMillis() + settings.loadMillis();
  }

  private double loadWaitMillis(AdapterRef adapter, long now) {
    double least = leastLoadMillis(adapter, now);
    boolean counted = least == 0 || !demand.waitingFor(adapter).isEmpty();
    return counted ? least : loadsAhead() * pace.turnMillis() + least;
  }

  private long loadsAhead() {
    return demand.count(adapter -> !residency.resident(adapter));
  }

  private double placeWaitMillis(QueuedRequest request, long now) {
    if (!batchFull()) {
      return 0;
    }
    double bound = Double.POSITIVE_INFINITY;
    double fraction = 1;
    List<ShareNode> path = queue.path(request);
    for (ShareNode node : path) {
      fraction *= node.fraction();
      bound = Math.min(bound, startableMillis(node) / fraction);
    }
    return ownPlaceMillis(path.getFirst(), request.partner(), now) + bound;
  }

  /** A partner that already fills its places waits for one of its own to become free. */
  private double ownPlaceMillis(ShareNode top, PartnerId partner, long now) {
    if (top.running() < Math.floor(settings.batch() * top.fraction())) {
      return firstPlaceMillis(now);
    }
    return running.stream()
        .filter(one -> one.request.partner().equals(partner))
        .mapToDouble(one -> leftMillis(one, now))
        .min()
        .orElseGet(() -> firstPlaceMillis(now));
  }

  private double allWork() {
    return startableMillis(queue.root());
  }

  /** Returns the time in which the whole endpoint would do what waits below a class. */
  private double startableMillis(ShareNode node) {
    double sum = 0;
    for (Waiting waiting : node.allRequests()) {
      if (!waiting.missesAdapter()) {
        sum += work.runMillis(waiting.request.costTokens());
      }
    }
    return sum / settings.batch();
  }

  /** Returns the expected time until every running request of an adapter has ended. */
  double busyMillis(AdapterRef adapter, long now) {
    return running.stream()
        .filter(one -> one.request.adapter().filter(adapter::equals).isPresent())
        .mapToDouble(one -> leftMillis(one, now))
        .max()
        .orElse(0);
  }

  private double leftMillis(Waiting one, long now) {
    double end = one.startedMillis() + work.runMillis(one.request.costTokens());
    return Math.max(0, end - now);
  }

  private boolean batchFull() {
    return running.size() >= settings.batch();
  }

  private double firstPlaceMillis(long now) {
    return running.stream().mapToDouble(one -> leftMillis(one, now)).min().orElse(0);
  }
}
