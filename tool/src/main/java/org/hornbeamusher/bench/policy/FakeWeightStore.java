package org.hornbeamusher.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.pacing.PermitAllocator;
import org.hornbeamusher.pacing.PermitDecision;
import org.hornbeamusher.pacing.PermitSettings;

/**
 * Simulates the weight store and the allocation of its load permits. Concurrent loads share the
 * bandwidth, and their total throughput is lower than that of a single load.
 */
final class FakeWeightStore {

  private static final long MESSAGE_MILLIS = 2;

  private final EventHeap events;
  private final PermitAllocator ledger;
  private final List<Transfer> transfers = new ArrayList<>();
  private final Map<EndpointId, FakeEndpoint> requesters = new HashMap<>();
  private final Map<EndpointId, Long> grants = new HashMap<>();
  private long nextPoll = Long.MAX_VALUE;
  private long lastMillis;
  private long changes;

  FakeWeightStore(EventHeap events, Map<PartnerId, Integer> shares) {
    this.events = events;
    this.ledger = new PermitAllocator(PermitSettings.of(shares));
  }

  void requestPermit(FakeEndpoint endpoint, PartnerId partner, double demand) {
    requesters.put(endpoint.id, endpoint);
    ledger.request(endpoint.id, partner, demand, events.now());
    pollPermits();
  }

  void beginTransfer(FakeEndpoint endpoint, Runnable done) {
    progress();
    transfers.add(new Transfer(endpoint, done));
    reschedule();
  }

  private void pollPermits() {
    nextPoll = Long.MAX_VALUE;
    while (true) {
      switch (ledger.poll(events.now())) {
        case PermitDecision.Grant grant -> {
          grants.put(grant.agent(), grant.grantId());
          events.after(MESSAGE_MILLIS, requesters.get(grant.agent())::permitGranted);
        }
        case PermitDecision.Wait hold -> {
          schedulePoll(hold.untilMillis());
          return;
        }
      }
    }
  }

  private void schedulePoll(long millis) {
    if (millis < Long.MAX_VALUE && millis < nextPoll) {
      nextPoll = millis;
      events.at(millis, this::pollIfDue);
    }
  }

  private void pollIfDue() {
    if (events.now() >= nextPoll) {
      pollPermits();
    }
  }

  private void progress() {
    double speed =
        transfers.size() > 1 ? SimulationSizes.CONCURRENT_LOAD_SPEED / transfers.size() : 1;
    double done = (events.now() - lastMillis) * speed;
    transfers.forEach(transfer -> transfer.remaining -= done);
    lastMillis = events.now();
  }

  private void reschedule() {
    long change = ++changes;
    double leastRemaining = Double.POSITIVE_INFINITY;
    for (Transfer transfer : transfers) {
      leastRemaining = Math.min(leastRemaining, transfer.remaining);
    }
    if (!transfers.isEmpty()) {
      double speed =
          transfers.size() > 1 ? SimulationSizes.CONCURRENT_LOAD_SPEED / transfers.size() : 1;
      events.after((long) Math.ceil(Math.max(0, leastRemaining) / speed), () -> finishDue(change));
    }
  }

  private void finishDue(long change) {
    if (change != changes) {
      return;
    }
    progress();
    List<Transfer> due = transfers.stream().filter(one -> one.remaining < 1).toList();
    transfers.removeAll(due);
    reschedule();
    due.forEach(
        one -> {
          Long grant = grants.remove(one.endpoint.id);
          if (grant != null) {
            ledger.release(one.endpoint.id, grant);
          }
          one.done.run();
        });
    pollPermits();
  }

  private static final class Transfer {
    final FakeEndpoint endpoint;
    final Runnable done;
    double remaining = SimulationSizes.LOAD_MILLIS;

    Transfer(FakeEndpoint endpoint, Runnable done) {
      this.endpoint = endpoint;
      this.done = done;
    }
  }
}
