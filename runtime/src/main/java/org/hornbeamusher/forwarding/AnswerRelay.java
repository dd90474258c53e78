package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.OptionalLong;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;

/** Passes an endpoint's answer on to the caller, over several attempts if need be. */
sealed interface AnswerRelay permits WholeRelay, EventRelay {

  /** The answer of an attempt begins; what an earlier attempt left unfinished is forgotten. */
  void head(HttpHead head, List<HttpHeader> headers);

  /** A part of it. */
  void data(byte[] bytes);

  /** The answer is whole and goes to the caller as such. */
  void end();

  /** Tells whether the caller has received anything of it. */
  boolean started();

  /** The status that the endpoint answered with; 0 before it did. */
  int status();

  /** The last event the caller has whole. */
  OptionalLong lastEvent();

  /** Tells whether the end, as it came, can be the end of a whole answer. */
  boolean canEnd();
}
