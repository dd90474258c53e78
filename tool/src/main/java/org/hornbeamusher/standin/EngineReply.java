package org.hornbeamusher.standin;

/**
 * How an engine answers an order.
 *
 * @param status the HTTP status
 * @param type what is wrong; empty with status 200
 */
record EngineReply(int status, String type) {

  static final EngineReply DONE = new EngineReply(200, "");
  static final EngineReply STALE = new EngineReply(409, "stale-fencing-number");
  static final EngineReply LOAD_FAILED = new EngineReply(503, "load-failed");
  static final EngineReply NO_FREE_SLOT = new EngineReply(507, "no-free-slot");
  static final EngineReply RESTARTED = new EngineReply(503, "restarted");
  static final EngineReply NOT_RESIDENT = new EngineReply(404, "adapter-not-resident");
  static final EngineReply BATCH_FULL = new EngineReply(429, "batch-full");
  static final EngineReply NOT_KEPT = new EngineReply(404, "request-not-kept");

  boolean done() {
    return status == 200;
  }
}
