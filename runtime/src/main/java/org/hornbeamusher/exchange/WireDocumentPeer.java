package org.hornbeamusher.exchange;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.hornbeamusher.documents.DocumentPeer;
import org.hornbeamusher.documents.DocumentUpdate;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/** The peer of a connection, from which documents are requested by messages. */
final class WireDocumentPeer implements DocumentPeer {

  /**
   * A few heartbeat intervals; a peer that does not respond within them is asked again after its
   * next digest.
   */
  static final long RESPONSE_TIMEOUT_MILLIS = 3_000;

  private final WireConnection connection;
  private final AtomicReference<CompletableFuture<Map<ServiceName, Long>>> pendingDigest =
      new AtomicReference<>();
  private final Map<ServiceName, CompletableFuture<DocumentUpdate>> pendingPulls =
      new ConcurrentHashMap<>();

  WireDocumentPeer(WireConnection connection) {
    this.connection = connection;
  }

  @Override
  public CompletableFuture<Map<ServiceName, Long>> digest() {
    CompletableFuture<Map<ServiceName, Long>> future = new CompletableFuture<>();
    pendingDigest.set(future);
    connection.send(new Message.DocumentPull("", 0));
    return withTimeout(future);
  }

  @Override
  public CompletableFuture<DocumentUpdate> pull(ServiceName service, long haveVersion) {
    CompletableFuture<DocumentUpdate> future = new CompletableFuture<>();
    pendingPulls.put(service, future);
    connection.send(new Message.DocumentPull(service.value(), haveVersion));
    return withTimeout(future);
  }

  @Override
  public boolean receivingLargeMessage() {
    return connection.receivingLargeMessage();
  }

  /** Adds the response timeout, which is extended while a large message is being received. */
  private <T> CompletableFuture<T> withTimeout(CompletableFuture<T> future) {
    CompletableFuture.delayedExecutor(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .execute(
            () -> {
              if (!future.isDone() && connection.receivingLargeMessage()) {
                withTimeout(future);
              } else {
                future.completeExceptionally(new TimeoutException());
              }
            });
    return future;
  }

  void digestReceived(Map<ServiceName, Long> versions) {
    CompletableFuture<Map<ServiceName, Long>> waiting = pendingDigest.getAndSet(null);
    if (waiting != null) {
      waiting.complete(versions);
    }
  }

  void updateReceived(ServiceName service, DocumentUpdate update) {
    CompletableFuture<DocumentUpdate> waiting = pendingPulls.remove(service);
    if (waiting != null) {
      waiting.complete(update);
    }
  }

  void closed() {
    HornbeamusherException failure =
        HornbeamusherException.notRun(FailureType.CONNECTION_CLOSED, connection.peer().instance());
    CompletableFuture<Map<ServiceName, Long>> waiting = pendingDigest.getAndSet(null);
    if (waiting != null) {
      waiting.completeExceptionally(failure);
    }
    pendingPulls.values().forEach(future -> future.completeExceptionally(failure));
    pendingPulls.clear();
  }
}
