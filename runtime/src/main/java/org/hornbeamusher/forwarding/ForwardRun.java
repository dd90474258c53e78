package org.hornbeamusher.forwarding;

import java.net.URI;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.http.HttpCall;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.ids.EndpointLife;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.placement.Placement;
import org.hornbeamusher.placement.PlacementRequest;
import org.hornbeamusher.routes.RequestKind;
import org.hornbeamusher.routes.Route;

/**
 * One request, from its whole body to its final answer.
 *
 * <p>A request is at any moment in one of four states: it waits for a permit of an endpoint that
 * limits the rate of its requests, it waits for its adapter to be loaded (a reservation, no
 * attempt), it is at an endpoint (an attempt), or it is over. What may follow the end of an attempt
 * depends on whether the request ran:
 *
 * <ul>
 *   <li>nothing was sent, or the endpoint says that it did not run: another endpoint may be tried,
 *       whatever the kind of request;
 *   <li>it may have run and is repeatable: another endpoint may be tried, a stream after the last
 *       event that the caller has, within the route's attempts;
 *   <li>it may have run and is not repeatable: the caller is told that its outcome is unknown.
 * </ul>
 *
 * <p>A second send to a service draws on the allowance of repeats, except when the first did not
 * arrive. Only a request of which every send was refused or never arrived is refused in turn with a
 * status that promises that it did not run.
 */
final class ForwardRun
    implements Attempt.Listener, EngineReservation.Listener, RatePermit.Listener {

  /** An answer takes longer than this to come back; sending is of no use any more. */
  private static final long LEAST_SEND_MILLIS = 15;

  /** How long a request waits for a load or a connection before it looks at all endpoints. */
  private static final long REPLACE_MILLIS = 100;

  private static final int SERVER_ERROR = 500;

  /** The endpoint at that address is not the one that was meant, or lacks what was asked for. */
  private static final int MISDIRECTED = 421;

  private static final int MOST_REFUSALS = 3;
  private static final int MOST_UNSENT = 4;

  private final ForwardState state;
  private final CallerRequest request;
  private final CallerAnswer caller;
  private final Listener listener;
  private final Set<EndpointLife> tried = new HashSet<>();

  /** Endpoints to which no connection was free; they are looked at again. */
  private final Set<EndpointLife> connectionsInUse = new HashSet<>();

  private RequestLog log = new RequestLog("");

  /** What the request was admitted as; null before. */
  private RoutedRequest routed;

  private Route route;
  private String service;
  private PlacementRequest placing;
  private AnswerRelay relay;
  private long deadlineMillis;
  private EventLoop.Timer deadline;
  private EventLoop.Timer replacing;

  private EndpointView endpoint;
  private RatePermit permit = RatePermit.NONE;
  private EngineReservation reservation = EngineReservation.NONE;
  private Attempt attempt;
  private long placedMillis;

  /** Since when its load could have been ordered; before that, no place in line is overdue. */
  private long queuedMillis;

  private long sentMillis;
  private long unreadTokens;

  /** What the endpoint had to read when the request was sent, its own prompt included. */
  private long tokensAhead;

  private boolean unread;
  private int sends;

  /** Sends that may have run, of which the request's account is charged one. */
  private int possibleRuns;

  private int refusals;
  private int unsent;
  private boolean mayHaveRun;

  /** Whether the relay holds a whole failure of an endpoint, which no later answer replaced. */
  private boolean failureKept;

  private long firstMillis = -1;
  private boolean over;

  ForwardRun(ForwardState state, CallerRequest request, CallerAnswer caller, Listener listener) {
    this.state = state;
    this.request = request;
    this.caller = caller;
    this.listener = listener;
  }

  void start() {
    try {
      accept();
    } catch (HornbeamusherException e) {
      fail(e);
      return;
    }
    caller.onGone(this::callerGone);
    deadline = state.loop().after(deadlineMillis - now(), this::deadlinePassed);
    place();
  }

  private void accept() {
    RequestFacts facts = state.dialect().request(request.headers());
    log = new RequestLog(facts.id());
    routed = state.intake().admit(request, facts);
    route = routed.route();
    service = routed.service();
    placing = routed.placing();
    deadlineMillis = routed.deadlineMillis();
    relay =
        route.kind() == RequestKind.STREAMING
            ? new EventRelay(caller, facts.lastEvent())
            : new WholeRelay(caller);
    state.allowance().requested(service, now());
  }

  /** By then a first event is of no use: a caller that hears nothing of a stream leaves earlier. */
  private long startByMillis() {
    return route.kind() == RequestKind.STREAMING && !relay.started()
        ? Math.min(deadlineMillis, request.arrivedMillis() + route.patienceMillis())
        : deadlineMillis;
  }

  private void place() {
    long now = now();
    long remaining = startByMillis() - now;
    Placement placement = state.placer().place(service, placing, excluded(), now);
    switch (placement) {
      case Placement.Nowhere nowhere when !connectionsInUse.isEmpty() -> awaitConnection();
      case Placement.Nowhere nowhere -> giveUp(noEndpoint(nowhere));
      case Placement.At at -> {
        if (at.rateWaitMillis() > untilAim()) {
          giveUp(notRun(FailureType.ENDPOINT_LIMITED, service).retryAfter(at.rateWaitMillis()));
        } else if (at.estimateMillis() > remaining || remaining < LEAST_SEND_MILLIS) {
          giveUp(notRun(FailureType.DEADLINE_TOO_NEAR));
        } else {
          placedAt(at, remaining);
        }
      }
    }
  }

  private Set<EndpointLife> excluded() {
    if (connectionsInUse.isEmpty()) {
      return tried;
    }
    Set<EndpointLife> excluded = new HashSet<>(tried);
    excluded.addAll(connectionsInUse);
    return excluded;
  }

  /** A connection becomes free when an answer ends; waiting beyond the aim makes others late. */
  private void awaitConnection() {
    connectionsInUse.clear();
    if (pastAim()) {
      giveUp(notRun(FailureType.CONNECTIONS_IN_USE, service, "all endpoints"));
    } else {
      replacing = state.loop().after(REPLACE_MILLIS, this::place);
    }
  }

  private HornbeamusherException noEndpoint(Placement.Nowhere nowhere) {
    return switch (nowhere.reason()) {
      case NO_ENDPOINT, ALL_TRIED -> notRun(FailureType.NO_ENDPOINT, service);
      case ALL_BACK_OFF ->
          notRun(FailureType.ENDPOINT_BACKOFF, service).retryAfter(nowhere.waitMillis());
    };
  }

  private void placedAt(Placement.At at, long remaining) {
    endpoint = at.endpoint();
    placedMillis = now();
    queuedMillis = placedMillis;
    unreadTokens = endpoint.uncachedTokens(placing);
    unread = true;
    log.placed(service, placing, at, remaining, state, placedMillis);
    endpoint.started(placing, placedMillis);
    if (endpoint.limit().requestsPerSecond().isEmpty()) {
      permitted();
    } else {
      // No request waits for a limited endpoint before it is known that no other can take it now.
      long mostWait = at.rateWaitMillis() > 0 ? untilAim() : 0;
      permit = state.limits().request(endpoint, log.id(), mostWait, this);
    }
  }

  @Override
  public void permitted() {
    permit = RatePermit.NONE;
    queuedMillis = now();
    boolean present = placing.adapter().map(endpoint::holds).orElse(true);
    placing.adapter().ifPresent(adapter -> reserve(adapter, startByMillis() - queuedMillis));
    if (present) {
      send();
    } else {
      replacing = state.loop().after(REPLACE_MILLIS, this::lookElsewhere);
    }
  }

  @Override
  public void limited() {
    placeAgain();
  }

  private void reserve(HeldAdapter adapter, long remaining) {
    reservation =
        state
            .agents()
            .reserve(
                endpoint.life(),
                new EngineReservation.Request(
                    routed.facts().id(),
                    adapter,
                    routed.rank(),
                    unreadTokens,
                    now() + remaining,
                    request.arrivedMillis() + route.targetLatencyMillis()),
                this);
  }

  @Override
  public void granted() {
    if (!over && attempt == null) {
      state.metrics().stalled(now() - placedMillis);
      send();
    }
  }

  @Override
  public void lost() {
    if (!over && attempt == null) {
      placeAgain();
    }
  }

  /** The place in the agent's queue is lost, or the endpoint takes no more requests now. */
  private void placeAgain() {
    if (over || attempt != null) {
      return;
    }
    log.moved(endpoint.id(), waited());
    leave();
    place();
  }

  /**
   * The load takes long. A request that leaves its line for the end of another one gains nothing,
   * and what was begun for it is wasted; so it leaves only for an endpoint that can start it at
   * once, or, when its own load is overdue, for one with a free place.
   *
   * <p>Past its aim, at an engine where more adapters wait than places can be had, it is refused.
   * Kept waiting, it would take a place from one that can still be in time, or none until its
   * caller has gone: on a full day, 150 callers left after 2.4 to 4 s without a word.
   */
  private void lookElsewhere() {
    if (over || attempt != null) {
      return;
    }
    HeldAdapter adapter = placing.adapter().orElseThrow();
    // The agent may not have been connected when the request was placed, and knows nothing of it.
    boolean unknown = reservation == EngineReservation.NONE && endpoint.agentConnected();
    if (unknown || !endpoint.takesRequests(now())) {
      placeAgain();
      return;
    }
    if (!endpoint.agentConnected() && endpoint.holds(adapter)) {
      // Nobody grants there; the list says that the load is done.
      granted();
      return;
    }
    if (!endpoint.holdsModel(adapter.key().model())) {
      queuedMillis = now();
    }
    if (!endpoint.awaits(adapter)
        && state.placer().place(service, placing, excluded(), now()) instanceof Placement.At at
        && at.endpoint() != endpoint
        && at.worthLeavingFor(now() - queuedMillis)) {
      placeAgain();
      return;
    }
    if (!endpoint.awaits(adapter) && pastAim() && endpoint.crowded(now())) {
      leave();
      giveUp(notRun(FailureType.LOAD_TOO_LATE, adapter));
      return;
    }
    replacing = state.loop().after(REPLACE_MILLIS, this::lookElsewhere);
  }

  private boolean pastAim() {
    return untilAim() == 0;
  }

  private long untilAim() {
    return Math.max(0, route.targetLatencyMillis() - waited());
  }

  private long waited() {
    return now() - request.arrivedMillis();
  }

  private void send() {
    Optional<HornbeamusherException> refusal = state.intake().refusal(routed);
    if (refusal.isPresent()) {
      leave();
      giveUp(refusal.get());
      return;
    }
    if (!endpoint.takesRequests(now())) {
      placeAgain();
      return;
    }
    cancel(replacing);
    reservation.used();
    sentMillis = now();
    tokensAhead = endpoint.unreadTokens();
    sends++;
    possibleRuns++;
    SendFacts sent =
        new SendFacts(
            endpoint.id(),
            deadlineMillis - sentMillis,
            routed.rank(),
            routed.accountName(),
            relay.lastEvent());
    URI uri = endpoint.endpoint().uri();
    HttpCall call =
        new HttpCall(
            request.method(),
            uri,
            request.host(),
            request.target(),
            state.dialect().toEndpoint(request.headers(), sent),
            request.body());
    attempt = new Attempt(endpoint, state, routed.facts().id(), this);
    attempt.send(state.http(), call, state.mostConnections(service));
  }

  @Override
  public void head(Attempt from, HttpHead head) {
    failureKept = false;
    if (!relay.head(head, state.dialect().toCaller(head))) {
      // It failed, or answers with something that cannot follow what the caller has.
      from.cancel();
      ended(from, new AttemptEnd.Broken(FailureType.ENDPOINT_FAILED));
      return;
    }
    if (listener.leaving()) {
      caller.closeAfter();
    }
  }

  @Override
  public void data(Attempt from, byte[] bytes) {
    relay.data(bytes);
    if (firstMillis < 0) {
      firstMillis = waited();
    }
    // What a failure took says nothing about how fast the endpoint reads.
    if (unread && from.status() < SERVER_ERROR) {
      promptRead();
      endpoint.succeeded(now() - sentMillis);
      state.placer().promptTook(endpoint, tokensAhead, now() - sentMillis);
    }
  }

  private void promptRead() {
    if (unread) {
      unread = false;
      endpoint.promptRead(unreadTokens);
      reservation.promptRead();
    }
  }

  @Override
  public void ended(Attempt from, AttemptEnd end) {
    if (over) {
      return;
    }
    AttemptEnd judged = judge(end);
    log.attemptEnded(from, judged.label(), relay, now() - sentMillis);
    state.metrics().attemptEnded(judged.label(), now() - sentMillis);
    EndpointView left = endpoint;
    leave();
    switch (judged) {
      case AttemptEnd.Answered answered -> answered(left, from.status());
      case AttemptEnd.NotSent notSent -> notSent(left);
      case AttemptEnd.Withdrawn withdrawn -> withdrawn();
      case AttemptEnd.NoConnection none -> noConnection(left);
      case AttemptEnd.Refused refused -> refused(left, refused.status());
      case AttemptEnd.Broken broken -> broken(left, broken.cause());
    }
  }

  private AttemptEnd judge(AttemptEnd end) {
    boolean cut = end instanceof AttemptEnd.Answered && !relay.canEnd();
    return cut ? new AttemptEnd.Broken(FailureType.ANSWER_CUT) : end;
  }

  /**
   * An endpoint's own failure is an answer too; but one that may be repeated is tried elsewhere,
   * and kept in case that nobody else can take it: it ran, and the caller must not be told that it
   * did not.
   */
  private void answered(EndpointView left, int status) {
    boolean failed = status >= SERVER_ERROR;
    if (failed) {
      left.failed(now());
      tried.add(left.life());
    } else if (placing.adapter().isPresent()) {
      left.ran(now() - sentMillis);
    }
    if (failed && route.repeatable() && relay.canContinue() && mayRepeat()) {
      failureKept = true;
      mayHaveRun = true;
      place();
      return;
    }
    relay.end();
    finish("answered", relay.status());
  }

  private void notSent(EndpointView left) {
    sends--;
    possibleRuns--;
    unsent++;
    left.failed(now());
    tried.add(left.life());
    if (unsent > MOST_UNSENT) {
      giveUp(notRun(FailureType.NO_ENDPOINT, service));
    } else {
      place();
    }
  }

  /** Nothing was sent, and the endpoint is not to blame. */
  private void withdrawn() {
    sends--;
    possibleRuns--;
    place();
  }

  private void noConnection(EndpointView left) {
    connectionsInUse.add(left.life());
    withdrawn();
  }

  private void refused(EndpointView left, int status) {
    possibleRuns--;
    refusals++;
    if (status == MISDIRECTED) {
      left.misdirected(now());
    }
    tried.add(left.life());
    if (refusals > MOST_REFUSALS || !takeRepeat()) {
      giveUp(notRun(FailureType.ENDPOINT_REFUSED, left.id()));
    } else {
      place();
    }
  }

  private void broken(EndpointView left, FailureType cause) {
    mayHaveRun = true;
    left.failed(now());
    tried.add(left.life());
    if (route.repeatable() && relay.canContinue() && mayRepeat()) {
      place();
      return;
    }
    giveUp(HornbeamusherException.of(cause, Outcome.UNKNOWN, left.id(), cause.label()));
  }

  private boolean mayRepeat() {
    return sends < route.attempts() && takeRepeat();
  }

  private boolean takeRepeat() {
    int entries = state.agents().knownEntries().orElse(1);
    return state.allowance().tryTake(service, entries, now());
  }

  /** Ends a request that no endpoint can take; what may have run is not said to be not run. */
  private void giveUp(HornbeamusherException refusal) {
    if (failureKept) {
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
    fail(
        refusal.retryAfterMillis().isPresent()
            ? refusal
            : refusal.retryAfter(ReturnTime.millis(refusal.type(), deadlineMillis - now())));
  }

  /**
   * This life of the endpoint has ended, or cannot be seen. Its connection may stay open without a
   * word for as long as the caller waits, when the machine went with it. Whether the request ran is
   * not known.
   */
  void endpointLost(EndpointLife lost) {
    if (attempt != null && isAt(lost)) {
      Attempt silent = attempt;
      silent.cancel();
      ended(silent, new AttemptEnd.Broken(FailureType.ENDPOINT_LOST));
    }
  }

  /**
   * Another life has followed this one of the endpoint, with its own line for adapters. A request
   * that waits in the line of the former life was not sent, and is placed anew.
   */
  void lifeEnded(EndpointLife former) {
    endpointLost(former);
    if (attempt == null && isAt(former)) {
      placeAgain();
    }
  }

  private boolean isAt(EndpointLife life) {
    return !over && endpoint != null && endpoint.life().sameAs(life);
  }

  private void deadlinePassed() {
    if (over) {
      return;
    }
    boolean atEndpoint = attempt != null;
    if (atEndpoint) {
      attempt.cancel();
    }
    HornbeamusherException late =
        permit == RatePermit.NONE
            ? notRun(
                FailureType.LOAD_TOO_LATE,
                placing.adapter().map(HeldAdapter::toString).orElse(service))
            : notRun(FailureType.ENDPOINT_LIMITED, service);
    leave();
    if (atEndpoint || mayHaveRun) {
      fail(HornbeamusherException.of(FailureType.DEADLINE_PASSED, Outcome.UNKNOWN));
    } else {
      giveUp(late);
    }
  }

  private void callerGone() {
    if (over) {
      return;
    }
    if (attempt != null) {
      attempt.cancel();
    }
    leave();
    finish("caller-gone", 0);
  }

  /** Cuts the request off, at the end of the instance's time. */
  void abort() {
    if (!over) {
      if (attempt != null) {
        attempt.cancel();
      }
      leave();
      fail(HornbeamusherException.of(FailureType.SHUTTING_DOWN, Outcome.UNKNOWN));
    }
  }

  /** Ends this request's part at its endpoint. */
  private void leave() {
    cancel(replacing);
    permit.cancel();
    permit = RatePermit.NONE;
    if (endpoint != null) {
      if (unread) {
        unread = false;
        endpoint.promptRead(unreadTokens);
      }
      endpoint.ended();
      reservation.release();
    }
    reservation = EngineReservation.NONE;
    endpoint = null;
    attempt = null;
  }

  private void fail(HornbeamusherException failure) {
    if (over) {
      return;
    }
    if (relay != null && relay.started()) {
      caller.abort();
      finish(failure.type().label(), 0);
      return;
    }
    int status = caller.refuse(failure, listener.leaving());
    finish(failure.type().label(), status);
  }

  private void finish(String cause, int status) {
    if (over) {
      // The last write found the caller gone, which has ended the request already.
      return;
    }
    over = true;
    if (routed != null && possibleRuns == 0) {
      state.intake().notRun(routed);
    }
    cancel(deadline);
    cancel(replacing);
    log.ended(
        new RequestLog.End(
            route == null ? "" : route.name(),
            routed == null ? "" : routed.accountName().map(AccountName::value).orElse(""),
            cause,
            status,
            waited(),
            firstMillis,
            sends,
            refusals));
    state.metrics().requestEnded(cause, waited(), firstMillis);
    if (routed != null) {
      boolean refused = CallerAnswer.promisesNotRun(status);
      routed.accountName().ifPresent(name -> state.metrics().accountEnded(name, refused));
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
    return state.clock().millis();
  }

  /** Hears of a request. */
  interface Listener {

    /** Tells whether the instance is leaving. */
    boolean leaving();

    /** The request is over; told once. */
    void ended(ForwardRun run, String cause);
  }
}
