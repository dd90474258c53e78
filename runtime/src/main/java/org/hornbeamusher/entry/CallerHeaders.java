package org.hornbeamusher.entry;

import io.undertow.util.HttpString;

/** HTTP headers of the callers' API. */
final class CallerHeaders {

  /** Deadline of the request, in milliseconds from its arrival. */
  static final HttpString DEADLINE = new HttpString("X-Deadline-Ms");

  /** The caller's idempotency key for a request that must run at most once. */
  static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

  /** {@code false} marks a request that must run at most once. */
  static final HttpString REPEATABLE = new HttpString("X-Repeatable");

  static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
  static final HttpString ADAPTER = new HttpString("X-Adapter");
  static final HttpString ENDPOINT = new HttpString("X-Endpoint");
  static final HttpString LOAD_STALL = new HttpString("X-Load-Stall-Ms");

  /** Marks the stored response of an earlier send of the same request. */
  static final HttpString REPLAYED = new HttpString("X-Replayed");

  private CallerHeaders() {}
}
