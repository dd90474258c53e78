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
import org.hornbeamusher.transfer.Transfer;

/** Collects one response, and says of one that fails what had arrived. */
final class CollectedReply implements HttpStreamListener {

  private final URI uri;
  private final Clock clock;
  private final long sentMillis;
  private final CompletableFuture<HttpReply> future = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private Map<String, String> headers = Map.of();

  /** Creates a collector of the response to a request that is sent now. */
  CollectedReply(URI uri, Clock clock) {
    this.uri = uri;
    this.clock = clock;
    this.sentMillis = clock.millis();
  }

  CompletableFuture<HttpReply> future() {
    return future;
  }

  @Override
  public void head(HttpHead head) {
    status = head.status();
    headers = head.firstValues();
  }

  @Override
  public void data(byte[] bytes) {
    body.writeBytes(bytes);
  }

  @Override
  public void end() {
    future.complete(new HttpReply(status, headers, body.toByteArray(), transfer()));
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
    return HornbeamusherException.of(
            FailureType.CONNECTION_CLOSED, Outcome.UNKNOWN, uri.getAuthority())
        .causedBy(new IncompleteTransferException(reason, transfer(), cause));
  }

  private Transfer transfer() {
    return new Transfer(clock.millis() - sentMillis, body.size());
  }
}
