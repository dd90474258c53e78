package org.hornbeamusher.scheduling;

import java.util.Optional;
import org.hornbeamusher.documents.ServiceDocument.Weights;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;

/** Requests for tests, changed one part at a time. */
record Requests(
    String adapter,
    String partner,
    String service,
    String caller,
    int cost,
    long deadline,
    Weights weights,
    int serviceShare,
    int callerWeight,
    int queueLimit) {

  static final Weights STALLS = new Weights(3, 1);
  static final Weights BATCHES = new Weights(1, 3);

  /** A request of 100 tokens for {@code valuer/a@1} that may take 60 s. */
  static Requests valuer() {
    return new Requests(
        "valuer/a@1", "tawhiti", "valuer", "yard", 100, 60_000, STALLS, 1, 1, 10_000);
  }

  static Requests dispatch() {
    return new Requests(
        "dispatch/a@1", "zarqa", "dispatch", "desk", 100, 60_000, BATCHES, 1, 1, 10_000);
  }

  Requests on(String other) {
    return new Requests(
        other,
        partner,
        service,
        caller,
        cost,
        deadline,
        weights,
        serviceShare,
        callerWeight,
        queueLimit);
  }

  Requests from(String other) {
    return new Requests(
        adapter,
        partner,
        service,
        other,
        cost,
        deadline,
        weights,
        serviceShare,
        callerWeight,
        queueLimit);
  }

  Requests of(String otherPartner, String otherService) {
    return new Requests(
        adapter,
        otherPartner,
        otherService,
        caller,
        cost,
        deadline,
        weights,
        serviceShare,
        callerWeight,
        queueLimit);
  }

  Requests costing(int tokens) {
    return new Requests(
        adapter,
        partner,
        service,
        caller,
        tokens,
        deadline,
        weights,
        serviceShare,
        callerWeight,
        queueLimit);
  }

  Requests within(long millis) {
    return new Requests(
        adapter,
        partner,
        service,
        caller,
        cost,
        millis,
        weights,
        serviceShare,
        callerWeight,
        queueLimit);
  }

  Requests weighing(Weights other) {
    return new Requests(
        adapter,
        partner,
        service,
        caller,
        cost,
        deadline,
        other,
        serviceShare,
        callerWeight,
        queueLimit);
  }

  Requests withShares(int ofService, int ofCaller) {
    return new Requests(
        adapter,
        partner,
        service,
        caller,
        cost,
        deadline,
        weights,
        ofService,
        ofCaller,
        queueLimit);
  }

  Requests queueing(int limit) {
    return new Requests(
        adapter,
        partner,
        service,
        caller,
        cost,
        deadline,
        weights,
        serviceShare,
        callerWeight,
        limit);
  }

  QueuedRequest arriving(long ticket, long now) {
    return new QueuedRequest(
        ticket,
        adapter.isEmpty() ? Optional.empty() : Optional.of(AdapterRef.parse(adapter)),
        new PartnerId(partner),
        new ServiceName(service),
        new CallerId(caller),
        cost,
        now,
        now + deadline,
        weights,
        serviceShare,
        callerWeight,
        queueLimit);
  }
}
