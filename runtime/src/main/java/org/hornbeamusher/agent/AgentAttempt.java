package org.hornbeamusher.agent;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.zip.CRC32C;
import org.hornbeamusher.availability.RetryAfter;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpStream;
import org.hornbeamusher.http.HttpStreamListener;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/**
 * One attempt at this agent: converts the endpoint's response into frames.
 *
 * <p>Flow control is by credit in bytes, which the entry grants. When the credit is used up,
 * reading from the endpoint pauses, so that a slow caller slows down only its own endpoint stream
 * and no data accumulates in memory.
 */
final class AgentAttempt implements HttpStreamListener {

  /** Receives the events of an attempt's response. */
  interface Listener {

    /** Returns whether the endpoint may be sent a request now. */
    boolean acceptsRequests();

    /** Called when a response of the endpoint states a Retry-After period. */
    void retryAfterStated(RetryAfter stated);

    /** Called when the endpoint's response is complete. */
    void completed(AgentAttempt attempt);

    /** Called when the endpoint answered with an error status and did not run the attempt. */
    void rejected(AgentAttempt attempt, int status, String body);

    /** Called when the endpoint's response was truncated or the endpoint was unreachable. */
    void failed(AgentAttempt attempt, HornbeamusherException failure);
  }

  private static final int OK = 200;
  private static final int MAX_ERROR_BYTES = 4_096;

  private final WireConnection connection;
  private final Message.Dispatch dispatch;
  private final long ticket;
  private final Listener listener;
  private final AtomicLong credit;
  private final CRC32C checksum = new CRC32C();
  private final ByteArrayOutputStream error = new ByteArrayOutputStream();

  /** Number of chunks sent so far, which is the number of the next chunk. */
  private long chunks;

  private int errorStatus;
  private volatile HttpStream stream;

  private volatile String startedOn = "";

  /** How often the attempt was requeued because the endpoint refused it without running it. */
  private int requeued;

  AgentAttempt(
      WireConnection connection, Message.Dispatch dispatch, long ticket, Listener listener) {
    this.connection = connection;
    this.dispatch = dispatch;
    this.ticket = ticket;
    this.listener = listener;
    this.credit = new AtomicLong(dispatch.creditBytes());
  }

  long ticket() {
    return ticket;
  }

  Message.Dispatch dispatch() {
    return dispatch;
  }

  WireConnection connection() {
    return connection;
  }

  boolean isModel() {
    return !dispatch.adapter().isEmpty();
  }

  /** Returns the incarnation of the endpoint to which the attempt was sent. */
  String startedOn() {
    return startedOn;
  }

  void markStarted(String incarnation) {
    startedOn = incarnation;
  }

  int requeue() {
    stream = null;
    errorStatus = 0;
    error.reset();
    return ++requeued;
  }

  void attach(HttpStream opened) {
    stream = opened;
  }

  void addCredit(long bytes) {
    long before = credit.getAndAdd(bytes);
    HttpStream open = stream;
    if (before <= 0 && before + bytes > 0 && open != null) {
      open.resume();
    }
  }

  void cancel() {
    HttpStream open = stream;
    if (open != null) {
      open.cancel();
    }
  }

  @Override
  public boolean shouldSend() {
    return listener.acceptsRequests();
  }

  @Override
  public void head(HttpHead head) {
    int status = head.status();
    List<String> times = head.first(RetryAfter.FIELD).map(List::of).orElse(List.of());
    listener.retryAfterStated(RetryAfter.of(status, times));
    if (isModel() && status != OK) {
      errorStatus = status;
      return;
    }
    String contentType = head.first("Content-Type").orElse("application/octet-stream");
    connection.send(new Message.Head(dispatch.attempt(), status, contentType));
  }

  @Override
  public void data(byte[] bytes) {
    if (errorStatus != 0) {
      errorData(bytes);
      return;
    }
    checksum.update(bytes);
    connection.send(new Message.Chunk(dispatch.attempt(), chunks++, bytes));
    if (credit.addAndGet(-bytes.length) <= 0) {
      pauseUntilCredit();
    }
  }

  /** Rejects the attempt as soon as the error has its maximum length: its body may have no end. */
  private void errorData(byte[] bytes) {
    error.write(bytes, 0, Math.min(bytes.length, MAX_ERROR_BYTES - error.size()));
    HttpStream open = stream;
    if (error.size() == MAX_ERROR_BYTES && open != null) {
      open.cancel();
      end();
    }
  }

  /**
   * Pauses the stream unless credit has arrived in the meantime. Without the second check, credit
   * that arrives between the deduction and the pause would be missed and the response would hang.
   */
  private void pauseUntilCredit() {
    HttpStream open = stream;
    if (open == null) {
      return;
    }
    open.pause();
    if (credit.get() > 0) {
      open.resume();
    }
  }

  /**
   * An endpoint does not say which request it answers, so each request has its own connection and
   * every response on it belongs to that request.
   */
  @Override
  public boolean mayReuseConnection() {
    return false;
  }

  @Override
  public void end() {
    if (errorStatus != 0) {
      listener.rejected(this, errorStatus, error.toString(java.nio.charset.StandardCharsets.UTF_8));
      return;
    }
    connection.send(new Message.ResponseEnd(dispatch.attempt(), chunks, checksum.getValue()));
    listener.completed(this);
  }

  @Override
  public void failed(Throwable failure) {
    listener.failed(this, HornbeamusherException.from(failure));
  }
}
