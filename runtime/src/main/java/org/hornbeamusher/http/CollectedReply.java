package org.hornbeamusher.http;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.transfer.IncompleteTransferException;
import org.hornbeamusher.transfer.TransferProgress;
import org.hornbeamusher.transfer.TransferTimeouts;

/** Collects one response, and says of one that fails what had arrived. */
final class CollectedReply implements HttpStreamListener {

  private final URI uri;
  private final Clock clock;
  private final CompletableFuture<HttpResponse> future = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  /** Guarded by itself: a timer asks it while the connection's thread reports. */
  private final TransferProgress progress;

  private int status;
  private Map<String, String> headers = Map.of();

  /** Creates a collector of the response to a request that is sent now. */
  CollectedReply(URI uri, TransferTimeouts limits, Clock clock) {
    this.uri = uri;
    this.clock = clock;
    this.progress = new TransferProgress(limits, clock.millis());
  }

  CompletableFuture<HttpResponse> future() {
    return future;
  }

  /** Returns how long to wait for more; not positive when the response is to be given up. */
  long remainingMillis() {
    synchronized (progress) {
      return progress.dueMillis() - clock.millis();
    }
  }

  @Override
  public void requestPartSent() {
    synchronized (progress) {
      progress.requestPartSent(clock.millis());
    }
  }

  @Override
  public void head(HttpHead head) {
    status = head.status();
    headers = head.firstValues();
    synchronized (progress) {
      progress.responseStarted(clock.millis());
    }
  }

  @Override
  public void data(byte[] bytes) {
    body.writeBytes(bytes);
    synchronized (progress) {
      progress.bodyPartReceived(bytes.length, clock.millis());
    }
  }

  @Override
  public void end() {
    HttpResponse whole;
    synchronized (progress) {
      if (progress.overdue()) {
        timedOut();
        return;
      }
      whole =
          new HttpResponse(status, headers, body.toByteArray(), progress.transfer(clock.millis()));
    }
    future.complete(whole);
  }

  @Override
  public void failed(Throwable failure) {
    boolean unsent =
        failure instanceof HornbeamusherException typed && typed.outcome().equals(Outcome.NOT_RUN);
    future.completeExceptionally(unsent ? failure : incomplete("connection closed", failure));
  }

  /** The response has not arrived in time. */
  void timedOut() {
    future.completeExceptionally(incomplete("timed out", null));
  }

  private HornbeamusherException incomplete(String reason, Throwable cause) {
    IncompleteTransferException incomplete;
    synchronized (progress) {
      incomplete =
          new IncompleteTransferException(reason, progress.transfer(clock.millis()), cause);
    }
    return HornbeamusherException.of(
            FailureType.CONNECTION_CLOSED, Outcome.UNKNOWN, uri.getAuthority())
        .causedBy(incomplete);
  }
}
