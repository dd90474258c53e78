package org.hornbeamusher.entry;

import java.util.Optional;
import org.hornbeamusher.claims.StoredResponse;
import org.hornbeamusher.failure.HornbeamusherException;

/** Writes one response in the format that its caller requested. */
interface ResponseWriter {

  /** Begins the response of an endpoint. */
  void begin(ResponseHead head);

  /** Adds a part: the text of a token from a model, or bytes from a plain service. */
  void part(ResponsePart part);

  /** Completes the response. */
  void end(ResponseEnd end);

  /** Ends the response with a failure, before or after a part of it was written. */
  void fail(HornbeamusherException failure);

  /** Keeps a copy of what is written; a response longer than the limit is not kept. */
  void keepCopy(int maximumLength);

  /** Returns the copy of the complete response as it was written, if it was kept. */
  Optional<StoredResponse> keptCopy();

  /** Writes the stored response of an earlier send of the same request. */
  void replay(StoredResponse response);

  /** Tells whether the caller may have received any part of the response. */
  boolean hasDelivered();
}
