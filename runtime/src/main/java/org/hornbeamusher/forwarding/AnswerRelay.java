package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.OptionalLong;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;

/**
 * Passes an endpoint's answer on to the caller, over several attempts if need be.
 *
 * <p>The caller's answer has one head, that of the attempt which first reached it. What a later
 * attempt answers is judged by that attempt's own head, before any of it is passed on: the first
 * head says nothing about how the later attempt went.
 */
sealed interface AnswerRelay permits WholeRelay, EventRelay {

  /**
   * The answer of an attempt begins; what an earlier attempt left unfinished is forgotten.
   *
   * @return false when the caller has a part of an earlier answer that this one does not go on;
   *     none of this one may then reach the caller
   */
  boolean head(HttpHead head, List<HttpHeader> headers);

  /** A part of it. */
  void data(byte[] bytes);

  /** The answer is whole and goes to the caller as such. */
  void end();

  /** Tells whether the caller has received anything of it. */
  boolean started();

  /** The status that the caller has, or would get now; 0 before any endpoint answered. */
  int status();

  /** The last event the caller has whole. */
  OptionalLong lastEvent();

  /** Tells whether the end, as it came, can be the end of a whole answer. */
  boolean canEnd();

  /** Tells whether the answer of another attempt could follow what the caller has. */
  boolean canContinue();
}
