package org.hornbeamusher.standin;

/**
 * The result of an order or request at an engine.
 *
 * @param status the HTTP status
 * @param type the error type; empty with status 200
 */
record EngineResult(int status, String type) {

  static final EngineResult DONE = new EngineResult(200, "");
  static final EngineResult STALE = new EngineResult(409, "stale-fencing-number");
  static final EngineResult LOAD_FAILED = new EngineResult(503, "load-failed");
  static final EngineResult NO_FREE_SLOT = new EngineResult(507, "no-free-slot");
  static final EngineResult RESTARTED = new EngineResult(503, "restarted");
  static final EngineResult NOT_RESIDENT = new EngineResult(404, "adapter-not-resident");
  static final EngineResult BATCH_FULL = new EngineResult(429, "batch-full");
  static final EngineResult NOT_RESUMABLE = new EngineResult(404, "request-not-kept");

  boolean isSuccess() {
    return status == 200;
  }
}
