package org.hornbeamusher.forwarding;

import java.net.URI;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.forecast.ForecastErrors;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.placement.Placement;
import org.hornbeamusher.placement.PlacementRequest;
import org.hornbeamusher.routes.RequestKind;
import org.hornbeamusher.routes.Route;

/**
 * Forwards one request, from its complete body to its final response.
 *
 * <p>A request is always in one of four states: it waits for a permit of a rate-limited endpoint,
 * it waits for its adapter to be loaded (a reservation without an attempt), it is at an endpoint
 * (an attempt), or it has ended. What may follow the end of an attempt depends on whether the
 * request ran:
 *
 * <ul>
 *   <li>nothing was sent, or the endpoint states that it did not run: another endpoint may be
 *       tried, for any kind of request;
 *   <li>it may have run and is repeatable: another endpoint may be tried, within the route's
 *       maximum number of attempts; a stream resumes after the last event that the caller received;
 *   <li>it may have run and is not repeatable: the caller is told that its outcome is unknown.
 * </ul>
 *
 * <p>Each attempt is placed for the newest known version of its adapter, so that a stream which
 * goes on at another endpoint does not begin there on an older one. {@link SupersededVersions}
 * decides for how long one that waits may still begin on that version.
 *
 * <p>Every further send to a service uses the retry budget, unless the one before did not reach the
 * endpoint. A status that guarantees "not run" is returned only if every send was refused or did
 * not reach an endpoint.
 */
final class ForwardedRequest
    implements Attempt.Listener, EngineReservation.Listener, PendingRatePermit.Listener {

  /** How long a request waits for a load or a connection before it is placed anew. */
  static final long PLACEMENT_RETRY_MILLIS = 100;

  private static final int SERVER_ERROR = 500;

  /** Another endpoint uses the address, or the endpoint lacks the requested adapter. */
  private static final int MISDIRECTED = 421;

  private static final int MAX_REFUSALS = 3;
  private static final int MAX_UNSENT = 4;

  private final ForwardContext context;
  private final CallerRequest request;
  private final CallerResponse caller;
  private final Listener listener;
  private final Set<EndpointIncarnation> tried = new HashSet<>();

  /** Endpoints to which no connection was free; they are tried again later. */
  private final Set<EndpointIncarnation> connectionsInUse = new HashSet<>();

  private RequestLog log = new RequestLog("");

  /** The admitted request; null before. */
  private RoutedRequest routed;

  /** What it has in common with requests that may crash endpoints; null before it is admitted. */
  private RequestSuspects suspects;

  private Route route;
  private String service;
  private PlacementRequest placementRequest;
  private ResponseRelay relay;
  private long deadlineMillis;
  private EventLoop.Timer deadlineTimer;
  private EventLoop.Timer placementTimer;

  private EndpointView endpoint;
  private PendingRatePermit permit = PendingRatePermit.NONE;
  private EngineReservation reservation = EngineReservation.NONE;
  private Attempt attempt;
  private long placedMillis;

  /** The estimate of the first event where the request is placed. */
  private ForecastErrors.Estimate estimate;

  /** Whether its adapter was in memory when it was placed; otherwise it had to wait for a load. */
  private boolean placedPresent;

  /** Earliest time at which the load could start; a load is overdue relative to this time. */
  private long loadPossibleMillis;

  private long sentMillis;

  /** How old the charge on the quota was at the last send. */
  private long chargeAgeMillis;

  private long pendingPromptTokens;

  /** The endpoint's pending prompt tokens when the request was sent, its own included. */
  private long endpointPromptTokens;

  private boolean promptPending;
  private int sends;

  /** Whether a retry was granted that has not been sent. */
  private boolean retryUnsent;

  /** Whether it has waited at the entry for capacity. */
  private boolean held;

  private int refusals;
  private int unsent;
  private boolean mayHaveRun;

  /** Whether the relay holds a complete failure response that no later response has replaced. */
  private boolean failureBuffered;

  /** At which endpoints its stream may go on; null before it is admitted. */
  private StreamContinuation continuation;

  /** Whether it is recorded that an endpoint has answered for long without a crash. */
  private boolean answerRecorded;

  private long firstMillis = -1;
  private boolean finished;

  ForwardedRequest(
      ForwardContext context, CallerRequest request, CallerResponse caller, Listener listener) {
    this.context = context;
    this.request = request;
    this.caller = caller;
    this.listener = listener;
  }

  void start() {
    try {
      admit();
    } catch (HornbeamusherException e) {
      fail(e);
      return;
    }
    caller.onDisconnect(this::callerDisconnected);
    caller.onDrained(this::callerDrained);
    deadlineTimer = context.loop().after(deadlineMillis - now(), this::deadlinePassed);
    crashRefusal().ifPresentOrElse(this::giveUp, this::placeFirst);
  }

  /** A stream that the caller takes up may go on only at the software version that began it. */
  private void placeFirst() {
    RequestMetadata metadata = routed.metadata();
    if (route.kind() == RequestKind.STREAMING && metadata.lastEvent().isPresent()) {
      context.streams().find(metadata, service, this::originFound);
    } else {
      place();
    }
  }

  private void originFound(Optional<StreamOrigin> found) {
    if (finished) {
      return;
    }
    if (found.isEmpty()) {
      giveUp(notRun(FailureType.STREAM_VERSION_UNKNOWN));
      return;
    }
    continuation.resumedFrom(found.get());
    place();
  }

  private Optional<HornbeamusherException> crashRefusal() {
    return context.crashes().refusal(routed.metadata().id(), suspects);
  }

  private void admit() {
    RequestMetadata metadata = context.headerCodec().parseRequest(request.headers());
    log = new RequestLog(metadata.id());
    routed = context.admission().admit(request, metadata);
    route = routed.route();
    service = routed.service();
    suspects = new RequestSuspects(request, routed.accountName(), metadata.parts());
    continuation = new StreamContinuation(context.streams(), metadata, route, service);
    placementRequest = routed.placementRequest();
    deadlineMillis = routed.deadlineMillis();
    relay =
        route.kind() == RequestKind.STREAMING
            ? new EventStreamRelay(caller, metadata.lastEvent())
            : new BufferedRelay(caller);
    context.retryBudget().recordRequest(service, now());
  }

  /** The latest useful time for the first event; a caller of a stream waits no longer for it. */
  private long startByMillis() {
    return route.kind() == RequestKind.STREAMING && !relay.started()
        ? Math.min(deadlineMillis, request.arrivedMillis() + route.eventTimeoutMillis())
        : deadlineMillis;
  }

  private void place() {
    Optional<HornbeamusherException> stop = stopRefusal();
    if (stop.isPresent()) {
      giveUp(stop.get());
      return;
    }
    OptionalLong quotaWait = routed.charge().chargeNextSend();
    if (quotaWait.isPresent()) {
      awaitQuota(quotaWait.getAsLong());
      return;
    }
    long now = now();
    routed.charge().waiting();
    placementRequest = context.admission().atNewestVersion(placementRequest);
    Placement placement = context.placer().place(service, placementRequest, excluded(), now);
    switch (placement) {
      case Placement.Unplaceable nowhere when !connectionsInUse.isEmpty() -> awaitConnection();
      case Placement.Unplaceable nowhere -> giveUp(noEndpoint(nowhere));
      case Placement.Assigned at -> {
        switch (context.refusals().atPlacement(candidate(), at, now)) {
          case RefusalDecisions.PlacementDecision.Place place -> placedAt(place.at());
          case RefusalDecisions.PlacementDecision.Hold hold -> hold(at);
          case RefusalDecisions.PlacementDecision.Refuse refuse -> giveUp(refuse.refusal());
        }
      }
    }
  }

  /** Waits without an endpoint for capacity that no other request waits for. */
  private void hold(Placement.Assigned best) {
    if (!held) {
      held = true;
      context.metrics().held();
      log.held(
          best.endpoint().id(),
          best.estimateMillis(),
          request.arrivedMillis() + route.targetLatencyMillis() - now());
    }
    placementTimer = context.loop().after(PLACEMENT_RETRY_MILLIS, this::place);
  }

  private RefusalDecisions.Candidate candidate() {
    return new RefusalDecisions.Candidate(
        log,
        service,
        placementRequest,
        request.arrivedMillis() + route.targetLatencyMillis(),
        startByMillis(),
        deadlineMillis,
        !mayHaveRun);
  }

  private Set<EndpointIncarnation> excluded() {
    if (tried.isEmpty() && connectionsInUse.isEmpty() && !continuation.isBound()) {
      return Set.of();
    }
    Collection<EndpointView> views = context.placer().views().values();
    Set<EndpointIncarnation> excluded = new HashSet<>(connectionsInUse);
    views.stream().map(EndpointView::incarnation).filter(this::isTried).forEach(excluded::add);
    continuation.addExcluded(views, excluded);
    return excluded;
  }

  /** The start of an endpoint may have become known since the request was sent there. */
  private boolean isTried(EndpointIncarnation incarnation) {
    return tried.stream().anyMatch(incarnation::maybeSameAs);
  }

  /** Waits for a free connection, up to the target latency; beyond it, others would be late too. */
  private void awaitConnection() {
    connectionsInUse.clear();
    if (pastTargetLatency()) {
      giveUp(notRun(FailureType.CONNECTIONS_IN_USE, service, "all endpoints"));
    } else {
      placementTimer = context.loop().after(PLACEMENT_RETRY_MILLIS, this::place);
    }
  }

  /** Waits to be sent again, unless a failure can be relayed or the wait would be in vain. */
  private void awaitQuota(long waitMillis) {
    if (failureBuffered || now() + waitMillis > startByMillis()) {
      giveUp(notRun(FailureType.QUOTA_EXCEEDED, routed.accountName().orElseThrow()));
    } else {
      placementTimer = context.loop().after(PLACEMENT_RETRY_MILLIS, this::place);
    }
  }

  private HornbeamusherException noEndpoint(Placement.Unplaceable nowhere) {
    return switch (nowhere.reason()) {
      case NO_ENDPOINT, ALL_TRIED -> notRun(FailureType.NO_ENDPOINT, service);
      case ALL_BACK_OFF ->
          notRun(FailureType.ENDPOINT_BACKOFF, service).retryAfter(nowhere.waitMillis());
    };
  }

  private void placedAt(Placement.Assigned at) {
    Optional<HornbeamusherException> refusal = context.admission().waitRefusal(routed, at);
    if (refusal.isPresent()) {
      giveUp(refusal.get());
      return;
    }
    endpoint = at.endpoint();
    placedMillis = now();
    estimate = context.refusals().estimate(candidate(), at);
    placedPresent = at.canStartNow();
    loadPossibleMillis = placedMillis;
    pendingPromptTokens = endpoint.uncachedTokens(placementRequest);
    promptPending = true;
    log.placed(
        service,
        routed.metadata().resumes(),
        placementRequest,
        at,
        context.refusals().forecast(candidate(), at, placedMillis),
        startByMillis() - placedMillis,
        context,
        placedMillis);
    endpoint.requestStarted(placementRequest, placedMillis);
    if (endpoint.limit().requestsPerSecond().isEmpty()) {
      permitGranted();
    } else {
      // A request waits for a rate-limited endpoint only if no other endpoint can take it now.
      long maxWait = at.rateWaitMillis() > 0 ? targetLatencyLeftMillis() : 0;
      permit = context.rateLimiter().request(endpoint, log.id(), maxWait, this);
    }
  }

  @Override
  public void permitGranted() {
    permit = PendingRatePermit.NONE;
    loadPossibleMillis = now();
    boolean present = placementRequest.adapter().map(endpoint::isResident).orElse(true);
    placementRequest
        .adapter()
        .ifPresent(adapter -> reserve(adapter, startByMillis() - loadPossibleMillis));
    if (present) {
      send();
    } else {
      placementTimer = context.loop().after(PLACEMENT_RETRY_MILLIS, this::reconsiderPlacement);
    }
  }

  @Override
  public void permitRefused() {
    placeAgain();
  }

  private void reserve(AdapterVersion adapter, long remaining) {
    reservation =
        context
            .agents()
            .reserve(
                endpoint.incarnation(),
                new EngineReservation.Request(
                    routed.metadata().id(),
                    adapter,
                    routed.rank(),
                    pendingPromptTokens,
                    now() + remaining,
                    request.arrivedMillis() + route.targetLatencyMillis()),
                this);
  }

  @Override
  public void reservationGranted() {
    if (!finished && attempt == null) {
      context.metrics().stalled(now() - placedMillis);
      send();
    }
  }

  @Override
  public void reservationLost() {
    if (!finished && attempt == null) {
      placeAgain();
    }
  }

  /** Called when the reservation is lost or the endpoint accepts no requests now. */
  private void placeAgain() {
    if (finished || attempt != null) {
      return;
    }
    log.moved(endpoint.id(), elapsedMillis());
    releaseEndpoint();
    place();
  }

  /**
   * Decides whether a request keeps waiting for a load. Moving to the end of another queue gains
   * nothing and wastes a load that has started. It therefore moves only to an endpoint that can
   * start it at once or, if its own load is overdue, to one with a free slot.
   *
   * <p>Otherwise {@link RefusalDecisions} decides whether it keeps waiting.
   */
  private void reconsiderPlacement() {
    if (finished || attempt != null) {
      return;
    }
    routed.charge().waiting();
    AdapterVersion adapter = placementRequest.adapter().orElseThrow();
    // The agent may not have been connected when the request was placed, so it has no reservation.
    boolean unknown = reservation == EngineReservation.NONE && endpoint.agentConnected();
    if (unknown || !endpoint.takesRequests(now()) || isVersionExpired()) {
      placeAgain();
      return;
    }
    if (!endpoint.agentConnected() && endpoint.isResident(adapter)) {
      // Without the agent there is no grant, but the list shows that the load is complete.
      reservationGranted();
      return;
    }
    if (!endpoint.hasModel(adapter.key().model())) {
      loadPossibleMillis = now();
    }
    if (!endpoint.isLoading(adapter)
        && context.placer().place(service, placementRequest, excluded(), now())
            instanceof Placement.Assigned at
        && at.endpoint() != endpoint
        && at.justifiesMove(
            now() - loadPossibleMillis,
            context.refusals().overdueMillis(endpoint, now()),
            endpoint.storeLoadMillis())) {
      placeAgain();
      return;
    }
    Optional<HornbeamusherException> refusal =
        endpoint.isLoading(adapter)
            ? Optional.empty()
            : context.refusals().whileWaiting(candidate(), endpoint, now());
    if (refusal.isPresent()) {
      releaseEndpoint();
      giveUp(refusal.get());
      return;
    }
    placementTimer = context.loop().after(PLACEMENT_RETRY_MILLIS, this::reconsiderPlacement);
  }

  private boolean pastTargetLatency() {
    return targetLatencyLeftMillis() == 0;
  }

  private long targetLatencyLeftMillis() {
    return Math.max(0, route.targetLatencyMillis() - elapsedMillis());
  }

  private long elapsedMillis() {
    return now() - request.arrivedMillis();
  }

  private void send() {
    Optional<HornbeamusherException> refusal =
        context.admission().refusal(routed).or(this::crashRefusal).or(this::stopRefusal);
    if (refusal.isPresent()) {
      releaseEndpoint();
      giveUp(refusal.get());
      return;
    }
    if (!endpoint.takesRequests(now()) || !continuation.mayRunAt(endpoint) || isVersionExpired()) {
      placeAgain();
      return;
    }
    cancel(placementTimer);
    reservation.requestSent();
    sentMillis = now();
    chargeAgeMillis = routed.charge().ageMillis();
    routed.charge().sent();
    context.refusals().sent(candidate(), !placedPresent, sentMillis);
    endpointPromptTokens = endpoint.pendingPromptTokens();
    if (sends == 0) {
      context.admission().started(routed);
    }
    sends++;
    AttemptMetadata sent =
        new AttemptMetadata(
            endpoint.id(),
            deadlineMillis - sentMillis,
            routed.rank(),
            routed.accountName(),
            relay.lastEvent());
    URI uri = endpoint.endpoint().uri();
    HttpRequest call =
        new HttpRequest(
            request.method(),
            uri,
            request.host(),
            request.target(),
            context.headerCodec().toEndpoint(request.headers(), sent),
            request.body());
    attempt = new Attempt(endpoint, context, routed.metadata(), route.repeatable(), this);
    attempt.send(context.http(), call, context.maxConnections(service));
  }

  @Override
  public boolean maySend() {
    return !context.crashes().isRefused(suspects) && !isVersionExpired() && stopRefusal().isEmpty();
  }

  /**
   * Refuses a request that may run only once and may still run when this entry stops, while it is
   * known not to have run: its caller can send it elsewhere at once. A repeatable one is sent: if
   * the stop ends it, its caller can still repeat it.
   */
  private Optional<HornbeamusherException> stopRefusal() {
    boolean refused =
        !route.repeatable()
            && !mayHaveRun
            && !relay.started()
            && listener.stopsBefore(deadlineMillis);
    return refused ? Optional.of(shuttingDown()) : Optional.empty();
  }

  private static HornbeamusherException shuttingDown() {
    return notRun(FailureType.SHUTTING_DOWN).retryAfter(0);
  }

  private boolean isVersionExpired() {
    return context.admission().isVersionExpired(placementRequest);
  }

  @Override
  public void sending(Attempt from) {
    if (retryUnsent) {
      retryUnsent = false;
      context.retryBudget().retrySent(service);
    }
  }

  @Override
  public void head(Attempt from, HttpHead head) {
    failureBuffered = false;
    if (!relay.head(head, context.headerCodec().toCaller(head))) {
      // The response cannot continue what the caller received.
      from.cancel();
      ended(from, new AttemptOutcome.Failed(FailureType.ENDPOINT_FAILED));
      return;
    }
    if (listener.draining()) {
      caller.closeAfterResponse();
    }
  }

  @Override
  public void data(Attempt from, byte[] bytes) {
    relay.data(bytes);
    caller.setBufferedBytes(relay.bufferedBytes());
    if (caller.isCongested()) {
      from.pauseReading();
    }
    if (relay.isUnbounded()) {
      from.cancel();
      ended(from, new AttemptOutcome.Failed(FailureType.RESPONSE_UNBOUNDED));
      return;
    }
    if (!answerRecorded && from.answeredForLong()) {
      answerRecorded = true;
      context.crashes().answered(suspects, response(from));
    }
    if (relay.started() && relay.lastEvent().isPresent()) {
      continuation.eventRelayed(from.endpoint().endpoint());
    }
    if (firstMillis < 0) {
      firstMillis = elapsedMillis();
    }
    // The duration of a failure says nothing about how fast the endpoint processes prompts.
    if (promptPending && from.status() < SERVER_ERROR) {
      promptProcessed();
      endpoint.succeeded(now() - sentMillis);
      context.placer().recordFirstEventTime(endpoint, endpointPromptTokens, now() - sentMillis);
      if (!placedPresent) {
        context.refusals().firstEvent(candidate(), endpoint, estimate, now() - placedMillis, now());
      }
    }
  }

  private void promptProcessed() {
    if (promptPending) {
      promptPending = false;
      endpoint.promptProcessed(pendingPromptTokens);
      reservation.promptProcessed();
    }
  }

  @Override
  public void ended(Attempt from, AttemptOutcome end) {
    if (finished) {
      return;
    }
    AttemptOutcome outcome = classify(end);
    Optional<RequestLog.LostRequest> lost =
        outcome.connectionLost()
            ? Optional.of(
                new RequestLog.LostRequest(
                    suspects.content(), suspects.pathContent(), routed.metadata().parts()))
            : Optional.empty();
    caller.setBufferedBytes(relay.bufferedBytes());
    log.attemptEnded(
        from, outcome, lost, routed.charge().possibleRuns() - 1, chargeAgeMillis, relay, now());
    context.metrics().attemptEnded(outcome.label(), now() - sentMillis);
    EndpointView left = endpoint;
    if (outcome.connectionLost()) {
      context.crashes().connectionLost(left, suspects, from.evidence());
    } else if (outcome instanceof AttemptOutcome.Completed) {
      context.crashes().completed(suspects, response(from));
      if (from.answered()) {
        context.crashes().answered(suspects, response(from));
      }
    }
    releaseEndpoint();
    switch (outcome) {
      case AttemptOutcome.Completed completed -> completed(left, from.status());
      case AttemptOutcome.NotSent notSent -> notSent(left);
      case AttemptOutcome.Withdrawn withdrawn -> withdrawn();
      case AttemptOutcome.NoConnection none -> noConnection(left);
      case AttemptOutcome.Refused refused -> {
        if (!from.namesThisRequest()) {
          // Each such refusal costs a connection, so other endpoints are preferred.
          left.failed(now());
        }
        refused(left, refused.status(), from.isAttributed());
      }
      case AttemptOutcome.Malformed malformed ->
          failed(left, FailureType.RESPONSE_MALFORMED, malformed.fault().text());
      case AttemptOutcome.Failed failed -> failed(left, failed.cause());
      case AttemptOutcome.Left gone -> failed(left, FailureType.ENDPOINT_LOST);
    }
  }

  private AttemptResponse response(Attempt from) {
    return new AttemptResponse(log.id(), from.endpoint().id(), from.status());
  }

  private AttemptOutcome classify(AttemptOutcome end) {
    boolean cut = end instanceof AttemptOutcome.Completed && !relay.canEnd();
    return cut ? new AttemptOutcome.Failed(FailureType.ANSWER_CUT) : end;
  }

  /**
   * Relays a complete response. A failure of the endpoint is a response as well, but a repeatable
   * request is retried elsewhere. The failure is kept in case no other endpoint can take the
   * request: it ran, and the caller must not be told that it did not.
   */
  private void completed(EndpointView left, int status) {
    boolean failed = status >= SERVER_ERROR;
    if (failed) {
      left.failed(now());
      tried.add(left.incarnation());
    } else if (placementRequest.adapter().isPresent()) {
      left.runCompleted(now() - sentMillis);
      context.admission().completed(routed, now() - sentMillis);
    }
    if (failed && route.repeatable() && relay.canContinue() && mayRetry()) {
      failureBuffered = true;
      mayHaveRun = true;
      place();
      return;
    }
    relay.end();
    if (!failed) {
      continuation.completed();
    }
    finish("answered", relay.status());
  }

  private void notSent(EndpointView left) {
    sends--;
    routed.charge().lastSendDidNotRun();
    unsent++;
    left.failed(now());
    tried.add(left.incarnation());
    if (unsent > MAX_UNSENT) {
      giveUp(notRun(FailureType.NO_ENDPOINT, service));
    } else {
      place();
    }
  }

  /** Nothing was sent, which does not count as a failure of the endpoint. */
  private void withdrawn() {
    sends--;
    routed.charge().lastSendDidNotRun();
    place();
  }

  private void noConnection(EndpointView left) {
    connectionsInUse.add(left.incarnation());
    withdrawn();
  }

  private void refused(EndpointView left, int status, boolean attributed) {
    if (attributed) {
      routed.charge().lastSendDidNotRun();
    } else {
      mayHaveRun = true;
    }
    refusals++;
    if (attributed && status == MISDIRECTED) {
      left.misdirected(now());
    }
    tried.add(left.incarnation());
    boolean retry = attributed ? refusals <= MAX_REFUSALS && takeRetry() : mayRetry();
    if (retry) {
      place();
    } else {
      giveUp(notRun(FailureType.ENDPOINT_REFUSED, left.id()));
    }
  }

  private void failed(EndpointView left, FailureType cause) {
    failed(left, cause, cause.label());
  }

  private void failed(EndpointView left, FailureType cause, String detail) {
    mayHaveRun = true;
    left.failed(now());
    tried.add(left.incarnation());
    if (route.repeatable() && relay.canContinue() && mayRetry()) {
      place();
      return;
    }
    giveUp(HornbeamusherException.of(cause, Outcome.UNKNOWN, left.id(), detail));
  }

  private boolean mayRetry() {
    return sends < route.maxAttempts() && takeRetry();
  }

  private boolean takeRetry() {
    if (retryUnsent) {
      return true;
    }
    SharedRetryBudget budget = context.retryBudget();
    retryUnsent = budget.tryTake(service, context.agents().entries(), now());
    context.metrics().retryDecided(retryUnsent);
    log.retryDecided(service, retryUnsent, budget.state(service, now()), context.agents());
    return retryUnsent;
  }

  /** Ends a request that no endpoint can take, as "not run" only if no send may have run. */
  private void giveUp(HornbeamusherException refusal) {
    if (failureBuffered) {
      relay.end();
      finish("answered", relay.status());
      return;
    }
    if (!refusal.outcome().equals(Outcome.NOT_RUN)) {
      fail(refusal);
      return;
    }
    if (mayHaveRun) {
      fail(HornbeamusherException.of(FailureType.RETRIES_EXHAUSTED, Outcome.UNKNOWN, service));
      return;
    }
    fail(context.refusals().withRetryAfter(candidate(), refusal, now()));
  }

  /**
   * Called when neither the agent of an incarnation of an endpoint nor this entry reaches it. One
   * that leaves may accept no connections while it completes its requests, and ends their
   * connections when it ends: the agent, which runs on the same machine, shows that the machine is
   * not gone.
   */
  void endpointUnreachable(EndpointIncarnation incarnation) {
    if (endpoint == null || !endpoint.isWithdrawn()) {
      leave(incarnation, AttemptOutcome.LeaveReason.UNREACHABLE);
    }
  }

  /**
   * Called when an incarnation of an endpoint has ended or cannot be seen. If its machine is gone,
   * the connection may stay open and silent for as long as the caller waits. Whether the request
   * ran is unknown.
   */
  private void leave(EndpointIncarnation incarnation, AttemptOutcome.LeaveReason reason) {
    if (isRunningAt(incarnation)) {
      Attempt silent = attempt;
      silent.cancel();
      ended(silent, new AttemptOutcome.Left(reason));
    }
  }

  /**
   * Called when a new incarnation with its own adapter queue has replaced an incarnation of an
   * endpoint. A request that waits in the former queue was not sent and is placed anew.
   */
  void incarnationEnded(EndpointIncarnation ended) {
    leave(ended, AttemptOutcome.LeaveReason.RESTARTED);
    if (attempt == null && isAt(ended)) {
      placeAgain();
    }
  }

  /** Returns whether the request was sent to an incarnation of an endpoint and may run there. */
  boolean isRunningAt(EndpointIncarnation incarnation) {
    return attempt != null && isAt(incarnation);
  }

  private boolean isAt(EndpointIncarnation incarnation) {
    return !finished && endpoint != null && endpoint.incarnation().maybeSameAs(incarnation);
  }

  private void deadlinePassed() {
    if (finished) {
      return;
    }
    boolean atEndpoint = attempt != null;
    cancelAttempt();
    HornbeamusherException late =
        permit == PendingRatePermit.NONE
            ? notRun(
                FailureType.LOAD_TOO_LATE,
                placementRequest.adapter().map(AdapterVersion::toString).orElse(service))
            : notRun(FailureType.ENDPOINT_LIMITED, service);
    releaseEndpoint();
    if (atEndpoint || mayHaveRun) {
      fail(HornbeamusherException.of(FailureType.DEADLINE_PASSED, Outcome.UNKNOWN));
    } else {
      giveUp(late);
    }
  }

  private void callerDrained() {
    if (attempt != null) {
      attempt.resumeReading();
    }
  }

  private void callerDisconnected() {
    if (finished) {
      return;
    }
    cancelAttempt();
    releaseEndpoint();
    finish("caller-gone", 0);
  }

  private void cancelAttempt() {
    if (attempt != null) {
      attempt.cancel();
      context.crashes().cancelled(endpoint, suspects, attempt.evidence());
    }
  }

  /** Called when a drain begins: refuses the request if it waits and may outlast the drain. */
  void drainStarted() {
    if (!finished && attempt == null) {
      stopRefusal()
          .ifPresent(
              refusal -> {
                releaseEndpoint();
                giveUp(refusal);
              });
    }
  }

  /** Ends the request because the drain time is over. */
  void abort() {
    if (finished) {
      return;
    }
    boolean atEndpoint = attempt != null;
    boolean sent = atEndpoint && attempt.mayHaveBeenSent();
    cancelAttempt();
    releaseEndpoint();
    if (sent) {
      fail(HornbeamusherException.of(FailureType.SHUTTING_DOWN, Outcome.UNKNOWN));
      return;
    }
    if (atEndpoint) {
      sends--;
      routed.charge().lastSendDidNotRun();
    }
    giveUp(shuttingDown());
  }

  /** Releases everything that the request holds at its endpoint. */
  private void releaseEndpoint() {
    cancel(placementTimer);
    permit.cancel();
    permit = PendingRatePermit.NONE;
    if (endpoint != null) {
      if (promptPending) {
        promptPending = false;
        endpoint.promptProcessed(pendingPromptTokens);
      }
      if (attempt == null && !placedPresent) {
        long waited = now() - placedMillis;
        context.refusals().leftUnserved(candidate(), endpoint, estimate, waited, now());
      }
      endpoint.requestEnded();
      reservation.release();
    }
    reservation = EngineReservation.NONE;
    endpoint = null;
    attempt = null;
  }

  private void fail(HornbeamusherException failure) {
    if (finished) {
      return;
    }
    if (relay != null && relay.started()) {
      caller.abort();
      finish(failure.type().label(), 0);
      return;
    }
    int status = caller.refuse(failure, listener.draining());
    finish(failure.type().label(), status);
  }

  private void finish(String cause, int status) {
    if (finished) {
      // The last write found the caller disconnected, which has already ended the request.
      return;
    }
    finished = true;
    if (retryUnsent) {
      context.retryBudget().retryUnused(service);
    }
    if (routed != null) {
      routed.charge().ended();
    }
    cancel(deadlineTimer);
    cancel(placementTimer);
    log.ended(
        new RequestLog.Summary(
            route == null ? "" : route.name(),
            routed == null ? "" : routed.accountName().map(AccountName::value).orElse(""),
            cause,
            status,
            elapsedMillis(),
            firstMillis,
            sends,
            refusals));
    context.metrics().requestEnded(cause, elapsedMillis(), firstMillis);
    if (routed != null) {
      boolean refused = CallerResponse.guaranteesNotRun(status);
      routed.accountName().ifPresent(name -> context.metrics().accountEnded(name, refused));
    }
    listener.ended(this, cause);
  }

  private static void cancel(EventLoop.Timer timer) {
    if (timer != null) {
      timer.cancel();
    }
  }

  private static HornbeamusherException notRun(FailureType type, Object... arguments) {
    return HornbeamusherException.notRun(type, arguments);
  }

  private long now() {
    return context.clock().millis();
  }

  /** Receives the end of a request. */
  interface Listener {

    /** Returns whether the instance is draining. */
    boolean draining();

    /** Returns whether the instance is draining and will stop before a time. */
    boolean stopsBefore(long millis);

    /** Called once, when the request has ended. */
    void ended(ForwardedRequest run, String cause);
  }
}
