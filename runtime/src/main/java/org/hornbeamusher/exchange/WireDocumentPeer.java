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

/** The process at the other end of a connection, asked for documents by frames. */
final class WireDocumentPeer implements DocumentPeer {

  /** A peer that does not answer within a few heartbeats is asked again with its next digest. */
  static final long ANSWER_MILLIS = 3_000;

  private final WireConnection connection;
  private final AtomicReference<CompletableFuture<Map<ServiceName, Long>>> digest =
      new AtomicReference<>();
  private final Map<ServiceName, CompletableFuture<DocumentUpdate>> pulls =
      new ConcurrentHashMap<>();

  WireDocumentPeer(WireConnection connection) {
    this.connection = connection;
  }

  @Override
  public CompletableFuture<Map<ServiceName, Long>> digest() {
    CompletableFuture<Map<ServiceName, Long>> future = new CompletableFuture<>();
    digest.set(future);
    connection.send(new Message.DocumentPull("", 0));
    return awaited(future);
  }

  @Override
  public CompletableFuture<DocumentUpdate> pull(ServiceName service, long haveVersion) {
    CompletableFuture<DocumentUpdate> future = new CompletableFuture<>();
    pulls.put(service, future);
    connection.send(new Message.DocumentPull(service.value(), haveVersion));
    return awaited(future);
  }

  @Override
  public boolean receiving() {
    return connection.receivingLargeMessage();
  }

  /** A large document may take longer to arrive; it is waited for as long as it does. */
  private <T> CompletableFuture<T> awaited(CompletableFuture<T> future) {
    CompletableFuture.delayedExecutor(ANSWER_MILLIS, TimeUnit.MILLISECONDS)
        .execute(
            () -> {
              if (!future.isDone() && connection.receivingLargeMessage()) {
                awaited(future);
              } else {
                future.completeExceptionally(new TimeoutException());
              }
            });
    return future;
  }

  void digestArrived(Map<ServiceName, Long> versions) {
    CompletableFuture<Map<ServiceName, Long>> waiting = digest.getAndSet(null);
    if (waiting != null) {
      waiting.complete(versions);
    }
  }

  void updateArrived(ServiceName service, DocumentUpdate update) {
    CompletableFuture<DocumentUpdate> waiting = pulls.remove(service);
    if (waiting != null) {
      waiting.complete(update);
    }
  }

  void closed() {
    HornbeamusherException failure =
        HornbeamusherException.notRun(FailureType.CONNECTION_CLOSED, connection.peer().instance());
    CompletableFuture<Map<ServiceName, Long>> waiting = digest.getAndSet(null);
    if (waiting != null) {
      waiting.completeExceptionally(failure);
    }
    pulls.values().forEach(future -> future.completeExceptionally(failure));
    pulls.clear();
  }
}
