package org.hornbeamusher.scheduling;

import java.util.Optional;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;

/** Immutable builder of requests for tests. */
record RequestBuilder(
    String adapter,
    String partner,
    String service,
    String caller,
    int cost,
    long deadline,
    CostWeights weights,
    int serviceShare,
    int callerWeight,
    int queueLimit) {

  static final CostWeights STALLS = new CostWeights(3, 1);
  static final CostWeights BATCHES = new CostWeights(1, 3);

  /** A request of 100 tokens for {@code valuer/a@1} with a deadline of 60 s. */
  static RequestBuilder valuer() {
    return new RequestBuilder(
        "valuer/a@1", "tawhiti", "valuer", "yard", 100, 60_000, STALLS, 1, 1, 10_000);
  }

  static RequestBuilder dispatch() {
    return new RequestBuilder(
        "dispatch/a@1", "zarqa", "dispatch", "desk", 100, 60_000, BATCHES, 1, 1, 10_000);
  }

  RequestBuilder withAdapter(String other) {
    return new RequestBuilder(
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

  RequestBuilder withCaller(String other) {
    return new RequestBuilder(
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

  RequestBuilder withService(String otherPartner, String otherService) {
    return new RequestBuilder(
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

  RequestBuilder withCost(int tokens) {
    return new RequestBuilder(
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

  RequestBuilder withDeadline(long millis) {
    return new RequestBuilder(
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

  RequestBuilder withWeights(CostWeights other) {
    return new RequestBuilder(
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

  RequestBuilder withShares(int ofService, int ofCaller) {
    return new RequestBuilder(
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

  RequestBuilder withQueueLimit(int limit) {
    return new RequestBuilder(
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

  QueuedRequest build(long ticket, long now) {
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
