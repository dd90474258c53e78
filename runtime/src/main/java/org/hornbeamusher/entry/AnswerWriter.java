package org.hornbeamusher.entry;

import java.util.Optional;
import org.hornbeamusher.claims.StoredResponse;
import org.hornbeamusher.failure.HornbeamusherException;

/** Writes one answer in the form its caller asked for. */
interface AnswerWriter {

  /** The endpoint's answer begins. */
  void begin(AnswerHead head);

  /** A part of the answer; for a model the text of a token, for a plain service bytes. */
  void part(AnswerPart part);

  /** The answer is whole. */
  void end(AnswerEnd end);

  /** Nothing or only a part was written, and the rest will not come. */
  void fail(HornbeamusherException failure);

  /** Keeps a copy of what is written, up to a length; a longer answer is not kept. */
  void keep(int maximumLength);

  /** Returns the whole answer as it was written, if it was kept. */
  Optional<StoredResponse> kept();

  /** Writes an answer that an earlier send of the same request got. */
  void replay(StoredResponse answer);

  /** Tells whether the caller has received any part of the answer. */
  boolean delivered();
}
