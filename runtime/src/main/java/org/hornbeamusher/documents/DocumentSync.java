package org.hornbeamusher.documents;

import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.ServiceName;

/**
 * Keeps a process's {@link LatestDocuments} up to date.
 *
 * <p>Two ways lead to a newer version. An entry polls the table as {@link PollPlan} says. And every
 * heartbeat between an entry and an agent carries {@link LatestDocuments#digestHash}, eight bytes;
 * where it differs from the own one, the process asks that peer for its digest and pulls what is
 * newer there, as differences where the peer still knows them. A change so travels entry, agents,
 * entries, agents, at most one heartbeat a step, and faster when the owner of the connections sends
 * a heartbeat early whenever {@link DocumentListener} reports a newer version.
 *
 * <p>The second way needs no table. A process that starts during an outage gets every document from
 * the first peer it meets; only when everything starts during an outage are there none.
 */
public final class DocumentSync {

  /** Longest wait for one poll, after which the table is looked at again. */
  private static final long POLL_TIMEOUT_MILLIS = 15_000;

  private final LatestDocuments holder;
  private final DocumentStore store;
  private final Clock clock;
  private final PollPlan plan;
  private final IntSupplier pollers;
  private final RandomGenerator random;
  private final List<DocumentListener> listeners = new CopyOnWriteArrayList<>();
  private final PullLedger ledger = new PullLedger();
  private ScheduledExecutorService executor;
  private CompletableFuture<Void> polling = CompletableFuture.completedFuture(null);
  private int failures;

  /**
   * Creates a stopped service.
   *
   * @param holder what it keeps up to date
   * @param store the table's documents
   * @param clock the time
   * @param plan when to poll
   * @param pollers how many processes poll; 0 when this process does not
   * @param random draws the jitter
   */
  public DocumentSync(
      LatestDocuments holder,
      DocumentStore store,
      Clock clock,
      PollPlan plan,
      IntSupplier pollers,
      RandomGenerator random) {
    this.holder = holder;
    this.store = store;
    this.clock = clock;
    this.plan = plan;
    this.pollers = pollers;
    this.random = random;
  }

  /**
   * Adds a listener.
   *
   * @param listener is told of every newer version
   */
  public void addListener(DocumentListener listener) {
    listeners.add(listener);
  }

  /** Starts polling, if this process polls. */
  public synchronized void start() {
    if (executor == null && pollers.getAsInt() > 0) {
      executor =
          Executors.newSingleThreadScheduledExecutor(
              Thread.ofPlatform().daemon().name("document-sync").factory());
      schedule(plan.firstDelayMillis(pollers.getAsInt(), random.nextDouble()));
    }
  }

  /** Stops polling. What is held stays in force. */
  public synchronized void stop() {
    if (executor != null) {
      executor.shutdownNow();
      executor = null;
    }
  }

  /**
   * Polls the table once, unless a poll is under way: many documents may take longer than the time
   * between two polls, and a second one would read them all again beside the first.
   *
   * @return completes when every newer document was read or the table failed; never fails
   */
  public synchronized CompletableFuture<Void> poll() {
    if (polling.isDone()) {
      polling =
          store
              .versions()
              .thenCompose(versions -> readAll(holder.newerThanHeld(versions).iterator()))
              .handle((done, thrown) -> polled(thrown));
    }
    return polling.copy();
  }

  /**
   * Takes in the hash that a peer's heartbeat carried.
   *
   * @param peer who sent it
   * @param digestHash its {@link LatestDocuments#digestHash}
   */
  public void digestHashReceived(DocumentPeer peer, long digestHash) {
    if (beginDigest(peer, digestHash)) {
      peer.digest().whenComplete((digest, thrown) -> digestAnswered(peer, digestHash, digest));
    }
  }

  /**
   * Forgets a peer whose connection is closed.
   *
   * @param peer the peer
   */
  public synchronized void removePeer(DocumentPeer peer) {
    ledger.forget(peer);
  }

  private synchronized boolean beginDigest(DocumentPeer peer, long digestHash) {
    return ledger.beginDigest(peer, digestHash, holder.digestHash(), clock.millis());
  }

  private void digestAnswered(DocumentPeer peer, long peerHash, Map<ServiceName, Long> digest) {
    synchronized (this) {
      ledger.digestEnded(peer);
      if (digest != null && holder.newerThanHeld(digest).isEmpty()) {
        ledger.nothingNewer(peer, peerHash, holder.digestHash());
      }
    }
    if (digest != null) {
      holder.newerThanHeld(digest).forEach(service -> pull(peer, service));
    }
  }

  private void pull(DocumentPeer peer, ServiceName service) {
    synchronized (this) {
      if (!ledger.beginPull(service, peer, clock.millis())) {
        return;
      }
    }
    long have = holder.latest(service).map(ServiceDocument::version).orElse(0L);
    peer.pull(service, have)
        .whenComplete(
            (update, thrown) -> {
              synchronized (this) {
                ledger.pullEnded(service);
              }
              if (update != null) {
                holder.apply(update).ifPresent(this::report);
              }
            });
  }

  /** Reads one document after the other, so that a cold start is no burst on the table. */
  private CompletableFuture<Void> readAll(Iterator<ServiceName> services) {
    if (!services.hasNext()) {
      return CompletableFuture.completedFuture(null);
    }
    ServiceName service = services.next();
    return store
        .read(service)
        .handle((document, thrown) -> thrown == null ? document : unreadable(service, thrown))
        .thenAccept(found -> found.filter(this::isNewer).ifPresent(this::report))
        .thenCompose(done -> readAll(services));
  }

  /** A document this release cannot read must not keep the others out; the old version stays. */
  private static Optional<ServiceDocument> unreadable(ServiceName service, Throwable thrown) {
    HornbeamusherException failure = HornbeamusherException.from(thrown);
    if (failure.type() != FailureType.PLATFORM_MALFORMED) {
      throw failure;
    }
    EventLog.log(EventType.DOCUMENT_UNREADABLE, "service", service, "detail", failure.getMessage());
    return Optional.empty();
  }

  private boolean isNewer(ServiceDocument document) {
    return holder.offer(document) instanceof LatestDocuments.Offered.Newer;
  }

  private void report(ServiceDocument document) {
    EventLog.log(
        EventType.DOCUMENT_IN_FORCE, "service", document.service(), "version", document.version());
    listeners.forEach(listener -> listener.newer(document));
  }

  private synchronized Void polled(Throwable thrown) {
    if (thrown == null) {
      failures = 0;
      return null;
    }
    if (failures == 0) {
      EventLog.log(
          EventType.PLATFORM_OUTAGE, "detail", HornbeamusherException.from(thrown).getMessage());
    }
    failures++;
    return null;
  }

  private void schedule(long delayMillis) {
    executor.schedule(
        () ->
            poll()
                .orTimeout(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((done, thrown) -> again()),
        delayMillis,
        TimeUnit.MILLISECONDS);
  }

  private synchronized void again() {
    if (executor != null) {
      schedule(plan.delayMillis(Math.max(1, pollers.getAsInt()), failures, random.nextDouble()));
    }
  }
}
