package org.hornbeamusher.agent;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.zip.CRC32C;
import org.hornbeamusher.availability.StatedRetryAfter;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpStream;
import org.hornbeamusher.http.HttpStreamListener;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/**
 * One attempt at this agent: turns the endpoint's answer into frames.
 *
 * <p>The entry grants credit in bytes. When it is used up, reading from the endpoint pauses, so
 * that a caller that reads slowly holds back its own endpoint stream and fills nobody's memory.
 */
final class AgentAttempt implements HttpStreamListener {

  /** How an attempt's answer ends, told to the agent's serial part. */
  interface Ending {

    /** Returns whether the endpoint may be sent a request now. */
    boolean takesRequests();

    /** The endpoint's refusal states for how long it takes no requests of this agent. */
    void backedOff(StatedRetryAfter stated);

    /** The endpoint's answer was whole. */
    void answered(AgentAttempt attempt);

    /** The endpoint answered with an error instead of a run. */
    void rejected(AgentAttempt attempt, int status, String body);

    /** The endpoint's answer was cut, or the endpoint could not be reached. */
    void failed(AgentAttempt attempt, HornbeamusherException failure);
  }

  private static final int OK = 200;
  private static final int MAX_ERROR_BYTES = 4_096;

  private final WireConnection connection;
  private final Message.Dispatch dispatch;
  private final long ticket;
  private final Ending ending;
  private final AtomicLong credit;
  private final CRC32C checksum = new CRC32C();
  private final ByteArrayOutputStream error = new ByteArrayOutputStream();

  /** Chunks sent so far; the next one carries this number. */
  private long chunks;

  private int errorStatus;
  private volatile HttpStream stream;

  private volatile String startedOn = "";

  /** How often the endpoint proved that it did not run the attempt and it was queued again. */
  private int requeued;

  AgentAttempt(WireConnection connection, Message.Dispatch dispatch, long ticket, Ending ending) {
    this.connection = connection;
    this.dispatch = dispatch;
    this.ticket = ticket;
    this.ending = ending;
    this.credit = new AtomicLong(dispatch.credit());
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

  /** Returns the incarnation of the endpoint that was given the attempt. */
  String startedOn() {
    return startedOn;
  }

  void markStarted(String incarnation) {
    startedOn = incarnation;
  }

  int requeue() {
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
  public boolean sending() {
    return ending.takesRequests();
  }

  @Override
  public void head(HttpHead head) {
    int status = head.status();
    List<String> times = head.first(StatedRetryAfter.FIELD).map(List::of).orElse(List.of());
    ending.backedOff(StatedRetryAfter.of(status, times));
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
      error.write(bytes, 0, Math.min(bytes.length, MAX_ERROR_BYTES - error.size()));
      return;
    }
    checksum.update(bytes);
    connection.send(new Message.Chunk(dispatch.attempt(), chunks++, bytes));
    if (credit.addAndGet(-bytes.length) <= 0) {
      pauseUntilCredit();
    }
  }

  /**
   * Credit that came between the count and the pause would be missed, and the answer would hang.
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

  @Override
  public void end() {
    if (errorStatus != 0) {
      ending.rejected(this, errorStatus, error.toString(java.nio.charset.StandardCharsets.UTF_8));
      return;
    }
    connection.send(new Message.Closing(dispatch.attempt(), chunks, checksum.getValue()));
    ending.answered(this);
  }

  @Override
  public void failed(Throwable failure) {
    ending.failed(this, HornbeamusherException.from(failure));
  }
}
