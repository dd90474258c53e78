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
 * <p>A process learns of newer versions in two ways. An entry polls the table at the intervals of
 * {@link PollPlan}. And every heartbeat between an entry and an agent contains {@link
 * LatestDocuments#digestHash} (eight bytes); if it differs from the process's own hash, the process
 * requests the peer's digest and pulls the documents that are newer there, as deltas if the peer
 * still has them. A change spreads from an entry to agents, from these to other entries and so on,
 * each hop within one heartbeat interval, or faster when the owner of the connections sends a
 * heartbeat early whenever {@link DocumentListener} reports a newer version.
 *
 * <p>The second way does not need the table. A process that starts during an outage gets every
 * document from the first peer it connects to; documents are missing only when all processes start
 * during an outage.
 */
public final class DocumentSync {

  /** Timeout of one poll, after which the next one is scheduled. */
  private static final long POLL_TIMEOUT_MILLIS = 15_000;

  private final LatestDocuments latestDocuments;
  private final DocumentStore store;
  private final Clock clock;
  private final PollPlan plan;
  private final IntSupplier pollers;
  private final RandomGenerator random;
  private final List<DocumentListener> listeners = new CopyOnWriteArrayList<>();
  private final PullLedger pullLedger = new PullLedger();
  private ScheduledExecutorService executor;
  private CompletableFuture<Void> currentPoll = CompletableFuture.completedFuture(null);
  private int failures;

  /**
   * Creates a stopped service.
   *
   * @param latestDocuments the documents that it keeps up to date
   * @param store the documents in the table
   * @param clock the clock
   * @param plan the intervals of polls
   * @param pollers number of polling processes; 0 when this process does not poll
   * @param random source of the jitter
   */
  public DocumentSync(
      LatestDocuments latestDocuments,
      DocumentStore store,
      Clock clock,
      PollPlan plan,
      IntSupplier pollers,
      RandomGenerator random) {
    this.latestDocuments = latestDocuments;
    this.store = store;
    this.clock = clock;
    this.plan = plan;
    this.pollers = pollers;
    this.random = random;
  }

  /**
   * Adds a listener.
   *
   * @param listener notified of every newer version
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

  /** Stops polling. The documents stay current. */
  public synchronized void stop() {
    if (executor != null) {
      executor.shutdownNow();
      executor = null;
    }
  }

  /**
   * Polls the table once, unless a poll is in progress: reading many documents may take longer than
   * the polling interval, and a second poll would read all of them again concurrently.
   *
   * @return completes when every newer document was read or a read failed; never completes
   *     exceptionally
   */
  public synchronized CompletableFuture<Void> poll() {
    if (currentPoll.isDone()) {
      currentPoll =
          store
              .versions()
              .thenCompose(versions -> readAll(latestDocuments.newerThanHeld(versions).iterator()))
              .handle((done, thrown) -> recordPollResult(thrown));
    }
    return currentPoll.copy();
  }

  /**
   * Handles the hash that a peer's heartbeat contained.
   *
   * @param peer the sender
   * @param digestHash the peer's {@link LatestDocuments#digestHash}
   */
  public void digestHashReceived(DocumentPeer peer, long digestHash) {
    if (tryBeginDigest(peer, digestHash)) {
      peer.digest().whenComplete((digest, thrown) -> digestReceived(peer, digestHash, digest));
    }
  }

  /**
   * Removes a peer whose connection was closed.
   *
   * @param peer the peer
   */
  public synchronized void removePeer(DocumentPeer peer) {
    pullLedger.removePeer(peer);
  }

  private synchronized boolean tryBeginDigest(DocumentPeer peer, long digestHash) {
    return pullLedger.tryBeginDigest(
        peer, digestHash, latestDocuments.digestHash(), clock.millis());
  }

  private void digestReceived(DocumentPeer peer, long peerHash, Map<ServiceName, Long> digest) {
    synchronized (this) {
      pullLedger.digestEnded(peer);
      if (digest != null && latestDocuments.newerThanHeld(digest).isEmpty()) {
        pullLedger.nothingNewer(peer, peerHash, latestDocuments.digestHash());
      }
    }
    if (digest != null) {
      latestDocuments.newerThanHeld(digest).forEach(service -> pull(peer, service));
    }
  }

  private void pull(DocumentPeer peer, ServiceName service) {
    synchronized (this) {
      if (!pullLedger.tryBeginPull(service, peer, clock.millis())) {
        return;
      }
    }
    long haveVersion = latestDocuments.latest(service).map(ServiceDocument::version).orElse(0L);
    peer.pull(service, haveVersion)
        .whenComplete(
            (update, thrown) -> {
              synchronized (this) {
                pullLedger.pullEnded(service);
              }
              if (update != null) {
                latestDocuments.apply(update).ifPresent(this::notifyListeners);
              }
            });
  }

  /** Reads one document after the other, so that a cold start causes no burst of reads. */
  private CompletableFuture<Void> readAll(Iterator<ServiceName> services) {
    if (!services.hasNext()) {
      return CompletableFuture.completedFuture(null);
    }
    ServiceName service = services.next();
    return store
        .read(service)
        .handle((document, thrown) -> thrown == null ? document : skipUnreadable(service, thrown))
        .thenAccept(found -> found.filter(this::offerIfNewer).ifPresent(this::notifyListeners))
        .thenCompose(done -> readAll(services));
  }

  /** A document that this release cannot read must not block the others; its old version stays. */
  private static Optional<ServiceDocument> skipUnreadable(ServiceName service, Throwable thrown) {
    HornbeamusherException failure = HornbeamusherException.from(thrown);
    if (failure.type() != FailureType.PLATFORM_MALFORMED) {
      throw failure;
    }
    EventLog.log(EventType.DOCUMENT_UNREADABLE, "service", service, "detail", failure.getMessage());
    return Optional.empty();
  }

  private boolean offerIfNewer(ServiceDocument document) {
    return latestDocuments.offer(document) instanceof LatestDocuments.OfferResult.Newer;
  }

  private void notifyListeners(ServiceDocument document) {
    EventLog.log(
        EventType.DOCUMENT_IN_FORCE, "service", document.service(), "version", document.version());
    listeners.forEach(listener -> listener.documentUpdated(document));
  }

  private synchronized Void recordPollResult(Throwable thrown) {
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
                .whenComplete((done, thrown) -> scheduleNextPoll()),
        delayMillis,
        TimeUnit.MILLISECONDS);
  }

  private synchronized void scheduleNextPoll() {
    if (executor != null) {
      schedule(plan.delayMillis(Math.max(1, pollers.getAsInt()), failures, random.nextDouble()));
    }
  }
}
