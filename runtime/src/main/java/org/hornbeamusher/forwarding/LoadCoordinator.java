package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.recovery.LoadPermitAllocator;
import org.hornbeamusher.recovery.LoadPermitRequest;
import org.hornbeamusher.recovery.LoadPermitResponse;
import org.hornbeamusher.recovery.StoreLoadDemand;
import org.hornbeamusher.wire.Message;

/**
 * Grants load permits to the agents that have chosen this entry as their coordinator. Confined to
 * the event loop.
 */
final class LoadCoordinator implements AgentConnections.LoadListener {

  /** Permits expire and pacing ends by the passage of time. */
  private static final long POLL_MILLIS = 50;

  /** The epoch in a request of an agent that has chosen another coordinator. */
  private static final long RELEASE_EPOCH = 0;

  private final LoadPermitAllocator<InetSocketAddress> allocator;
  private final BiConsumer<InetSocketAddress, Message> sender;
  private final ForwardMetrics metrics;
  private final EventLoop loop;
  private final Clock clock;

  /** Whether a poll is scheduled after the messages that are already queued in the loop. */
  private boolean pollQueued;

  private boolean pollScheduled;
  private boolean pacedBefore = true;

  LoadCoordinator(
      BiConsumer<InetSocketAddress, Message> sender,
      ForwardMetrics metrics,
      EventLoop loop,
      Clock clock) {
    this.allocator = new LoadPermitAllocator<>(clock.millis());
    this.sender = sender;
    this.metrics = metrics;
    this.loop = loop;
    this.clock = clock;
  }

  int loadsInProgress() {
    return allocator.loadsInProgress(clock.millis());
  }

  int concurrencyLimit() {
    return allocator.concurrencyLimit();
  }

  @Override
  public void loadsReported(InetSocketAddress agent, int loads) {
    allocator.loadsReported(agent, loads);
    queuePoll();
  }

  @Override
  public void received(InetSocketAddress agent, Message.LoadPermitRequest message) {
    if (message.epoch() == RELEASE_EPOCH) {
      allocator.released(agent);
      return;
    }
    allocator.request(
        agent,
        new LoadPermitRequest(
            message.epoch(),
            new StoreLoadDemand(message.adapters(), message.onTimeRequests()),
            message.usedPermits(),
            message.loadMillis(),
            message.concurrencyLimit()),
        clock.millis());
    queuePoll();
  }

  @Override
  public void closed(InetSocketAddress agent) {
    allocator.agentLost(agent);
    queuePoll();
  }

  private void queuePoll() {
    // Other entries only record the reported loads.
    if (!pollQueued && allocator.isCoordinator()) {
      pollQueued = true;
      loop.execute(
          () -> {
            pollQueued = false;
            poll();
          });
    }
  }

  private void poll() {
    long now = clock.millis();
    allocator.poll(now).forEach(reply -> send(reply.agent(), reply.response()));
    if (allocator.paced() != pacedBefore) {
      pacedBefore = allocator.paced();
      EventLog.log(
          EventType.LOAD_PACING_CHANGED,
          "paced",
          pacedBefore,
          "loads",
          allocator.loadsInProgress(now),
          "wanted",
          allocator.adaptersWanted(now),
          "limit",
          allocator.concurrencyLimit());
    }
    if (allocator.paced() && allocator.isCoordinator() && !pollScheduled) {
      pollScheduled = true;
      loop.after(
          POLL_MILLIS,
          () -> {
            pollScheduled = false;
            poll();
          });
    }
  }

  private void send(InetSocketAddress agent, LoadPermitResponse response) {
    metrics.loadPermitsStated(response.paced());
    sender.accept(
        agent,
        new Message.LoadPermitResponse(
            response.epoch(),
            response.paced(),
            response.grantedPermits(),
            response.waitMillis(),
            response.concurrencyLimit()));
  }
}
