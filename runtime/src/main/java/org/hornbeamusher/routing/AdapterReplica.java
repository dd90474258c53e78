package org.hornbeamusher.routing;

/** An endpoint where an adapter is resident, or loading because of an attempt sent there. */
final class AdapterReplica {

  final EndpointState endpoint;
  boolean resident;

  /** Number of attempts of this entry for the adapter at this endpoint that have not ended. */
  int outstanding;

  /** Time at which the first attempt that causes the load was sent. */
  long loadStartMillis;

  /** Expected duration of the load, estimated at that time. */
  long expectedLoadMillis;

  AdapterReplica(EndpointState endpoint) {
    this.endpoint = endpoint;
  }

  boolean isUsed() {
    return resident || outstanding > 0;
  }
}
