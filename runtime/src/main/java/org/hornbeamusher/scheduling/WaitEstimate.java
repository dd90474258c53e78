package org.hornbeamusher.scheduling;

import java.util.Collection;
import java.util.List;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.PartnerId;

/**
 * Estimates how long a request waits for a batch slot and for its adapter.
 *
 * <p><b>Batch slot.</b> While a slot is free the wait is 0. Otherwise it is the sum of two times.
 * The first is the time until a running request ends (one of the request's own partner, if that
 * partner already uses its share of the slots). The second is the startable work queued for the
 * request's caller divided by that caller's share of the throughput, or that of its service or
 * partner divided by theirs, whichever is least. So a caller with few requests is admitted while
 * another's backlog is minutes long. Dividing all queued work by the total throughput gives no
 * valid upper limit: while another partner floods the endpoint, its new requests are served before
 * those of a partner that already uses its share.
 *
 * <p><b>Load.</b> The loads ahead, each at the measured pace, plus the request's own. With none
 * ahead only the load time itself counts: if the measured pace were added as well, a slow period of
 * the weight store would cause every request to be refused, no load would be attempted, and the
 * pace would never be measured again.
 */
final class WaitEstimate {

  private final SchedulerSettings settings;
  private final FairQueue queue;
  private final Residency residency;
  private final RunTimeEstimate runTimeEstimate;
  private final LoadDemand demand;
  private final LoadPace pace;
  private final Collection<ScheduledRequest> running;

  WaitEstimate(
      SchedulerSettings settings,
      FairQueue queue,
      Residency residency,
      RunTimeEstimate runTimeEstimate,
      LoadDemand demand,
      LoadPace pace,
      Collection<ScheduledRequest> running) {
    this.settings = settings;
    this.queue = queue;
    this.residency = residency;
    this.runTimeEstimate = runTimeEstimate;
    this.demand = demand;
    this.pace = pace;
    this.running = running;
  }

  /** Returns the wait of a request that is not queued yet, for batch slot and load together. */
  double waitMillis(QueuedRequest request, long now) {
    double load = request.adapter().map(ref -> loadWaitMillis(ref, now)).orElse(0.0);
    return Math.max(load, slotWaitMillis(request, now));
  }

  /** Returns the minimum time until an adapter can be resident. */
  double minLoadMillis(AdapterRef adapter, long now) {
    if (residency.resident(adapter)) {
      return 0;
    }
    return residency
        .loading()
        .filter(order -> order.adapter().equals(adapter))
        .map(order -> (double) Math.max(0, order.sinceMillis() + settings.loadMillis() - now))
        .orElse((double) settings.loadMillis());
  }

  /** Returns the wait for a batch slot of a request whose caller has no other queued requests. */
  double newCallerSlotWaitMillis(long now) {
    return batchFull() ? firstFreeSlotMillis(now) + totalStartableMillis() : 0;
  }

  /** Returns the wait for the load of an adapter that no request waits for yet. */
  double newAdapterLoadWaitMillis() {
    return loadsAhead() * pace.intervalMillis() + settings.loadMillis();
  }

  private double loadWaitMillis(AdapterRef adapter, long now) {
    double minLoadMillis = minLoadMillis(adapter, now);
    boolean counted = minLoadMillis == 0 || !demand.waitingFor(adapter).isEmpty();
    return counted ? minLoadMillis : loadsAhead() * pace.intervalMillis() + minLoadMillis;
  }

  private long loadsAhead() {
    return demand.count(adapter -> !residency.resident(adapter));
  }

  private double slotWaitMillis(QueuedRequest request, long now) {
    if (!batchFull()) {
      return 0;
    }
    double queuedMillis = Double.POSITIVE_INFINITY;
    double fraction = 1;
    List<ShareNode> path = queue.path(request);
    for (ShareNode node : path) {
      fraction *= node.fraction();
      queuedMillis = Math.min(queuedMillis, startableMillis(node) / fraction);
    }
    return partnerSlotWaitMillis(path.getFirst(), request.partner(), now) + queuedMillis;
  }

  /** A partner that already uses its share of the slots waits for one of its own to become free. */
  private double partnerSlotWaitMillis(ShareNode top, PartnerId partner, long now) {
    if (top.running() < Math.floor(settings.batch() * top.fraction())) {
      return firstFreeSlotMillis(now);
    }
    return running.stream()
        .filter(one -> one.request.partner().equals(partner))
        .mapToDouble(one -> remainingMillis(one, now))
        .min()
        .orElseGet(() -> firstFreeSlotMillis(now));
  }

  private double totalStartableMillis() {
    return startableMillis(queue.root());
  }

  /** Returns the time in which the whole endpoint would run the startable requests of a class. */
  private double startableMillis(ShareNode node) {
    double sum = 0;
    for (ScheduledRequest waiting : node.allRequests()) {
      if (!waiting.awaitsAdapter()) {
        sum += runTimeEstimate.runMillis(waiting.request.costTokens());
      }
    }
    return sum / settings.batch();
  }

  /** Returns the expected time until every running request of an adapter has ended. */
  double busyMillis(AdapterRef adapter, long now) {
    return running.stream()
        .filter(one -> one.request.adapter().filter(adapter::equals).isPresent())
        .mapToDouble(one -> remainingMillis(one, now))
        .max()
        .orElse(0);
  }

  private double remainingMillis(ScheduledRequest one, long now) {
    double end = one.startedMillis() + runTimeEstimate.runMillis(one.request.costTokens());
    return Math.max(0, end - now);
  }

  private boolean batchFull() {
    return running.size() >= settings.batch();
  }

  private double firstFreeSlotMillis(long now) {
    return running.stream().mapToDouble(one -> remainingMillis(one, now)).min().orElse(0);
  }
}
