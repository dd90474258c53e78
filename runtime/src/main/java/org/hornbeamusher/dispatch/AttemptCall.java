package org.hornbeamusher.dispatch;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.wire.Message;

/**
 * One attempt as its entry sees it: a queue of events, filled by the connection and emptied by the
 * request's own thread. What is queued is bounded by the credit that the request grants.
 */
public final class AttemptCall {

  /** Answer bytes that may be under way or queued: 256 KiB is some 30,000 tokens of text. */
  public static final long INITIAL_CREDIT = 256 * 1024;

  /** Credit is returned in pieces, so that not every token costs a frame back. */
  private static final long CREDIT_STEP = INITIAL_CREDIT / 4;

  private final AgentLink link;
  private final long attempt;
  private final LinkedBlockingQueue<AttemptEvent> events = new LinkedBlockingQueue<>();
  private long consumed;

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
   * @param millis how long at most
   * @return the event, or null when none came in time
   * @throws InterruptedException when the thread is interrupted
   */
  public AttemptEvent next(long millis) throws InterruptedException {
    return events.poll(Math.max(0, millis), TimeUnit.MILLISECONDS);
  }

  /**
   * Adds an event.
   *
   * @param event what happened
   */
  public void add(AttemptEvent event) {
    events.add(event);
  }

  /**
   * Grants credit for bytes that the caller has taken.
   *
   * @param bytes how many
   */
  public void consumed(int bytes) {
    consumed += bytes;
    if (consumed >= CREDIT_STEP) {
      link.send(new Message.Credit(attempt, consumed));
      consumed = 0;
    }
  }

  /** Ends the attempt at the agent; nothing of it is heard any more. */
  public void cancel() {
    link.forget(attempt);
    link.send(new Message.Cancel(attempt));
  }

  /** Forgets an attempt that ended by itself. */
  public void close() {
    link.forget(attempt);
  }
}
