package org.hornbeamusher.routing;

/** An endpoint where an adapter is resident, or soon will be because of an attempt sent there. */
final class Home {

  final EndpointState endpoint;
  boolean resident;

  /** Attempts of this entry for the adapter that are there now. */
  int outstanding;

  /** When the first attempt was sent that makes it load, and what the load was expected to take. */
  long pendingSince;

  long pendingMillis;

  Home(EndpointState endpoint) {
    this.endpoint = endpoint;
  }

  boolean useful() {
    return resident || outstanding > 0;
  }
}
