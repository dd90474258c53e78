package org.hornbeamusher.dispatch;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.wire.Message;

/**
 * The entry's side of one attempt: a queue of events, filled by the connection and read by the
 * request's own thread. The credit that the request grants limits the queued bytes.
 */
public final class AttemptCall {

  /** Response bytes that may be in transit or queued; 256 KiB is about 30,000 tokens of text. */
  public static final long INITIAL_CREDIT_BYTES = 256 * 1024;

  /** Credit is granted in steps of this size, so that not every token causes a credit frame. */
  private static final long CREDIT_STEP_BYTES = INITIAL_CREDIT_BYTES / 4;

  private final AgentLink link;
  private final long attempt;
  private final LinkedBlockingQueue<AttemptEvent> events = new LinkedBlockingQueue<>();
  private long consumedBytes;

  AttemptCall(AgentLink link, long attempt) {
    this.link = link;
    this.attempt = attempt;
  }

  /**
   * Returns the attempt's number.
   *
   * @return unique on its connection
   */
  public long attempt() {
    return attempt;
  }

  /**
   * Waits for the next event.
   *
   * @param millis maximum time to wait
   * @return the event, or null if none arrived in time
   * @throws InterruptedException if the thread is interrupted
   */
  public AttemptEvent next(long millis) throws InterruptedException {
    return events.poll(Math.max(0, millis), TimeUnit.MILLISECONDS);
  }

  /**
   * Adds an event to the queue.
   *
   * @param event the event
   */
  public void add(AttemptEvent event) {
    events.add(event);
  }

  /**
   * Grants new credit for bytes that the caller has consumed.
   *
   * @param bytes number of bytes consumed
   */
  public void consumed(int bytes) {
    consumedBytes += bytes;
    if (consumedBytes >= CREDIT_STEP_BYTES) {
      link.send(new Message.Credit(attempt, consumedBytes));
      consumedBytes = 0;
    }
  }

  /** Cancels the attempt at the agent; later messages for it are ignored. */
  public void cancel() {
    link.removeAttempt(attempt);
    link.send(new Message.Cancel(attempt));
  }

  /** Removes an attempt that has ended from its link, without cancelling it at the agent. */
  public void close() {
    link.removeAttempt(attempt);
  }
}
