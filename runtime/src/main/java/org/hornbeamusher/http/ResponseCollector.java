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

/** Collects one response; on failure, reports how much of it was received. */
final class ResponseCollector implements HttpStreamListener {

  private final URI uri;
  private final int maxBodyBytes;
  private final boolean connectionReusable;
  private final Clock clock;
  private final CompletableFuture<HttpResponse> future = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  /** Guarded by itself: the connection's thread updates it and a timer reads it. */
  private final TransferProgress progress;

  private int status;
  private Map<String, String> headers = Map.of();

  /**
   * Creates a collector for the response to a request that is sent now.
   *
   * @param connectionReusable whether another request may use the connection afterwards
   */
  ResponseCollector(
      URI uri, TransferTimeouts limits, int maxBodyBytes, boolean connectionReusable, Clock clock) {
    this.uri = uri;
    this.maxBodyBytes = maxBodyBytes;
    this.connectionReusable = connectionReusable;
    this.clock = clock;
    this.progress = new TransferProgress(limits, clock.millis());
  }

  CompletableFuture<HttpResponse> future() {
    return future;
  }

  /**
   * Returns the time until the response times out without further progress; not positive when it
   * has timed out.
   */
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
    if (body.size() + bytes.length > maxBodyBytes) {
      future.completeExceptionally(incomplete("longer than " + maxBodyBytes + " bytes", null));
      return;
    }
    body.writeBytes(bytes);
    synchronized (progress) {
      progress.bodyPartReceived(bytes.length, clock.millis());
    }
  }

  @Override
  public boolean mayReuseConnection() {
    return connectionReusable;
  }

  @Override
  public void end() {
    HttpResponse response;
    synchronized (progress) {
      if (progress.overdue()) {
        timedOut();
        return;
      }
      response =
          new HttpResponse(status, headers, body.toByteArray(), progress.transfer(clock.millis()));
    }
    future.complete(response);
  }

  @Override
  public void failed(Throwable failure) {
    boolean notSent =
        failure instanceof HornbeamusherException typed && typed.outcome().equals(Outcome.NOT_RUN);
    future.completeExceptionally(notSent ? failure : incomplete("connection closed", failure));
  }

  /** Fails the response because it was not received in time. */
  void timedOut() {
    future.completeExceptionally(incomplete("timed out", null));
  }

  /** A malformed response keeps its type: on-call engineers look at the server, not the network. */
  private HornbeamusherException incomplete(String reason, Throwable cause) {
    IncompleteTransferException incomplete;
    synchronized (progress) {
      incomplete =
          new IncompleteTransferException(reason, progress.transfer(clock.millis()), cause);
    }
    HornbeamusherException typed =
        cause instanceof HornbeamusherException failure
                && failure.type() == FailureType.RESPONSE_MALFORMED
            ? failure
            : HornbeamusherException.of(
                FailureType.CONNECTION_CLOSED, Outcome.UNKNOWN, uri.getAuthority());
    return typed.causedBy(incomplete);
  }
}
