package org.hornbeamusher.bench.policy;

import java.util.Set;
import org.hornbeamusher.admission.AdmissionRequest;
import org.hornbeamusher.ids.EndpointId;

/** One attempt to run a request at an endpoint. */
final class Attempt {

  final long ticket;
  final Arrival arrival;
  final FakeEntry entry;
  final FakeEndpoint endpoint;
  final AdmissionRequest admitted;
  final int number;

  /** Endpoints at which earlier attempts of the request failed. */
  final Set<EndpointId> excluded;

  final long sentMillis;
  long startedMillis = -1;
  long firstTokenMillis;
  double millisPerToken;
  long stallMillis;
  boolean ended;

  Attempt(
      long ticket,
      Arrival arrival,
      FakeEntry entry,
      FakeEndpoint endpoint,
      AdmissionRequest admitted,
      int number,
      Set<EndpointId> excluded,
      long sentMillis) {
    this.ticket = ticket;
    this.arrival = arrival;
    this.entry = entry;
    this.endpoint = endpoint;
    this.admitted = admitted;
    this.number = number;
    this.excluded = excluded;
    this.sentMillis = sentMillis;
  }

  int tokensBy(long now) {
    return (int) ((now - firstTokenMillis) / millisPerToken);
  }
}
