package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.OptionalLong;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;

/**
 * Relays an endpoint's response to the caller, over several attempts if necessary.
 *
 * <p>The caller's response has one head: that of the first attempt whose response reached it. A
 * later attempt is judged by its own head before any of its response is relayed, because the first
 * head says nothing about the result of the later attempt.
 */
sealed interface ResponseRelay permits BufferedRelay, EventStreamRelay {

  /**
   * Starts the response of an attempt; an unfinished response of an earlier attempt is discarded.
   *
   * @return false if the caller has received part of an earlier response which this one does not
   *     continue; nothing of this one may then reach the caller
   */
  boolean head(HttpHead head, List<HttpHeader> headers);

  /** Takes a part of the body. */
  void data(byte[] bytes);

  /** Completes the response to the caller. */
  void end();

  /** Returns whether any part of a response was sent to the caller. */
  boolean started();

  /** Returns the status that the caller received or would receive now; 0 before any response. */
  int status();

  /** Returns the id of the last complete event that the caller received. */
  OptionalLong lastEvent();

  /** Returns how many bytes are held back until more of the response has arrived. */
  long bufferedBytes();

  /** Returns whether a part of the response is longer than any valid one. */
  boolean isUnbounded();

  /** Returns whether the response received so far can be complete. */
  boolean canEnd();

  /** Returns whether the response of another attempt could continue what the caller received. */
  boolean canContinue();
}
