package org.hornbeamusher.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.hornbeamusher.availability.AvailabilityLog;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.availability.RetryAfter;
import org.hornbeamusher.availability.SendDecision;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.endpoint.EngineOrderClient;
import org.hornbeamusher.endpoint.EngineState;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.http.ConnectionOptions;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.ResponseFault;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.FencingNumber;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.routing.EndpointLoad;
import org.hornbeamusher.scheduling.AgentAction;
import org.hornbeamusher.scheduling.AgentScheduler;
import org.hornbeamusher.scheduling.QueuedRequest;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/**
 * Executes the actions that the {@link AgentScheduler} decides for one endpoint.
 *
 * <p>All calls to the scheduler are serialised by this object's lock. Its actions are executed
 * after the lock is released, because a call to the endpoint may complete on the same thread and
 * call back into this object.
 */
final class EndpointExecutor implements AgentAttempt.Listener {

  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int FIRST_SERVER_ERROR = 500;

  /** An endpoint that refuses the same attempt more often is not expected to run it. */
  private static final int MAX_REQUEUES = 3;

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final EndpointParameters parameters;
  private final AgentScheduler scheduler;
  private final EngineOrderClient orders;
  private final HttpClient http;
  private final Clock clock;
  private final Function<AdapterRef, String> weightsLocation;
  private final AttemptRegistry attempts = new AttemptRegistry();

  /**
   * The time that the scheduler returned after its latest decision; a later query would return a
   * later time.
   */
  private long nextPollMillis;

  private final EndpointAvailability availability = new EndpointAvailability();
  private boolean draining;
  private boolean endpointDown;
  private String engineIncarnation = "";

  private final PermitExchange.LoadPermits permits;

  /** Number of loads that are ordered and have not ended. */
  private int loadsInFlight;

  /** Number of loads that have ended since the start. */
  private long loadsEnded;

  /**
   * The parameters of the endpoint.
   *
   * @param endpoint the endpoint
   * @param uri its address
   * @param model whether it is a model engine
   * @param fencing source of the fencing number of orders
   * @param superseded called when the engine has accepted orders of a later agent
   */
  record EndpointParameters(
      EndpointId endpoint,
      java.net.URI uri,
      boolean model,
      EngineFencing fencing,
      Runnable superseded) {}

  EndpointExecutor(
      EndpointParameters parameters,
      AgentScheduler scheduler,
      EngineOrderClient orders,
      HttpClient http,
      Function<AdapterRef, String> weightsLocation,
      PermitExchange.LoadPermits permits,
      Clock clock) {
    this.permits = permits;
    this.parameters = parameters;
    this.scheduler = scheduler;
    this.orders = orders;
    orders.onRetryAfter(this::retryAfterStated);
    this.http = http;
    this.weightsLocation = weightsLocation;
    this.clock = clock;
  }

  /** Accepts or refuses an attempt of an entry. */
  void dispatch(WireConnection connection, Message.Dispatch dispatch) {
    Optional<FailureType> refusal;
    synchronized (this) {
      refusal = refusalOf(dispatch);
      if (refusal.isEmpty()) {
        queue(connection, dispatch);
      }
    }
    if (refusal.isPresent()) {
      connection.send(refusal(dispatch, refusal.get(), parameters.endpoint(), retryAfterMillis()));
      return;
    }
    poll();
  }

  private Optional<FailureType> refusalOf(Message.Dispatch dispatch) {
    if (draining) {
      return Optional.of(FailureType.ENDPOINT_LEAVING);
    }
    if (endpointDown) {
      return Optional.of(FailureType.ENDPOINT_FAILED);
    }
    if (!acceptsRequests()) {
      return Optional.of(FailureType.ENDPOINT_BACKOFF);
    }
    if (dispatch.expiresMillis() <= clock.millis()) {
      return Optional.of(FailureType.DISPATCH_EXPIRED);
    }
    return Optional.empty();
  }

  @Override
  public synchronized boolean acceptsRequests() {
    return availability.decide(clock.millis()) instanceof SendDecision.Now;
  }

  private synchronized long retryAfterMillis() {
    return Math.max(RETRY_AFTER_MILLIS, availability.backoffMillis(clock.millis()));
  }

  private HornbeamusherException backoffFailure() {
    return HornbeamusherException.notRun(FailureType.ENDPOINT_BACKOFF, parameters.endpoint());
  }

  @Override
  public synchronized void retryAfterStated(RetryAfter stated) {
    if (availability.recordRetryAfter(stated, clock.millis())) {
      AvailabilityLog.backoff(
          parameters.endpoint(), engineIncarnation, availability.backoffMillis(clock.millis()));
    }
  }

  private void queue(WireConnection connection, Message.Dispatch dispatch) {
    AgentAttempt attempt = attempts.add(connection, dispatch, this);
    scheduler.submit(toQueuedRequest(attempt), clock.millis());
  }

  private QueuedRequest toQueuedRequest(AgentAttempt attempt) {
    Message.Dispatch d = attempt.dispatch();
    return new QueuedRequest(
        attempt.ticket(),
        d.adapter().isEmpty() ? Optional.empty() : Optional.of(AdapterRef.parse(d.adapter())),
        new PartnerId(d.partner()),
        new ServiceName(d.service()),
        new CallerId(d.caller()),
        d.costTokens(),
        clock.millis(),
        d.deadlineMillis(),
        new CostWeights(d.loadStallWeight(), d.batchWeight()),
        d.serviceShare(),
        d.callerWeight(),
        d.queueLimit());
  }

  /** Cancels an attempt. */
  void cancel(WireConnection connection, long attemptNumber) {
    AgentAttempt attempt;
    boolean started;
    synchronized (this) {
      attempt = attempts.find(connection, attemptNumber).orElse(null);
      if (attempt == null) {
        return;
      }
      attempts.remove(attempt);
      started = scheduler.cancel(attempt.ticket(), clock.millis());
    }
    attempt.cancel();
    if (started && attempt.isModel()) {
      orders.cancel(attempt.dispatch().requestId());
    }
    poll();
  }

  /** Adds flow-control credit to an attempt. */
  void credit(WireConnection connection, long attemptNumber, long bytes) {
    Optional<AgentAttempt> attempt;
    synchronized (this) {
      attempt = attempts.find(connection, attemptNumber);
    }
    attempt.ifPresent(found -> found.addCredit(bytes));
  }

  /**
   * Cancels all attempts of a closed connection: their responses can no longer be delivered, and
   * the entry handles the attempts as failed by itself.
   */
  void connectionClosed(WireConnection connection) {
    List<Long> orphans;
    synchronized (this) {
      orphans = attempts.attemptsOf(connection);
    }
    orphans.forEach(attempt -> cancel(connection, attempt));
  }

  /** Refuses new attempts from now on and returns queued ones that do not start soon. */
  synchronized void drain() {
    draining = true;
    scheduler.beginDrain(clock.millis());
  }

  /** Tells whether new attempts are refused. */
  synchronized boolean isDraining() {
    return draining;
  }

  /** Returns the number of attempts that are queued or running. */
  synchronized int outstanding() {
    return attempts.size();
  }

  /** Returns the endpoint's load; a batch of 0 means that it is unreachable. */
  synchronized EndpointLoad load() {
    EndpointLoad load = scheduler.endpointLoad(clock.millis());
    if (!endpointDown) {
      return load;
    }
    return new EndpointLoad(0, load.queued(), 0, load.slots(), 0, 0, load.resident());
  }

  /** Returns when {@link #poll} is due without any event. */
  synchronized long nextPollMillis() {
    return nextPollMillis;
  }

  /** Executes the actions that the scheduler decides now. */
  void poll() {
    List<Runnable> tasks = new ArrayList<>();
    synchronized (this) {
      for (AgentAction action : scheduler.poll(clock.millis())) {
        tasks.add(toTask(action));
      }
      nextPollMillis = scheduler.nextPollMillis(clock.millis());
    }
    tasks.forEach(Runnable::run);
  }

  private Runnable toTask(AgentAction action) {
    return switch (action) {
      case AgentAction.Start start -> startTask(start);
      case AgentAction.Refuse refusal -> refusalTask(refusal);
      case AgentAction.Load load -> loadTask(load);
      case AgentAction.RequestPermit ask -> () -> permits.request(ask.partner(), ask.demand());
    };
  }

  /** Handles a granted permit for the weight store; an unused one is returned at once. */
  void permitGranted() {
    synchronized (this) {
      scheduler.permitGranted(clock.millis());
    }
    poll();
    boolean unused;
    synchronized (this) {
      unused = loadsInFlight == 0;
    }
    if (unused) {
      permits.release();
    }
  }

  private Runnable startTask(AgentAction.Start start) {
    AgentAttempt attempt = attempts.ofTicket(start.ticket());
    attempt.markStarted(engineIncarnation);
    return () -> run(attempt, start.loadStallMillis());
  }

  private Runnable refusalTask(AgentAction.Refuse refusal) {
    AgentAttempt attempt = attempts.ofTicket(refusal.ticket());
    attempts.remove(attempt);
    return () ->
        attempt
            .connection()
            .send(
                refusal(
                    attempt.dispatch(),
                    refusal.type(),
                    parameters.endpoint(),
                    refusal.retryAfterMillis()));
  }

  private void run(AgentAttempt attempt, long loadStallMillis) {
    Message.Dispatch d = attempt.dispatch();
    attempt.connection().send(new Message.Started(d.attempt(), loadStallMillis));
    if (startsTooLate()) {
      returnUnstarted(attempt, FailureType.ENDPOINT_LEAVING);
      return;
    }
    if (!acceptsRequests()) {
      returnUnstarted(attempt, FailureType.ENDPOINT_BACKOFF);
      return;
    }
    Map<String, String> headers = new HashMap<>();
    headers.put("X-Request-Id", d.requestId());
    if (!d.contentType().isEmpty()) {
      headers.put("Content-Type", d.contentType());
    }
    if (!d.idempotencyKey().isEmpty()) {
      headers.put("Idempotency-Key", d.idempotencyKey());
    }
    HttpRequest call =
        new HttpRequest(d.method(), parameters.uri().resolve(d.path()), headers, d.body());
    attempt.attach(http.stream(call, attempt, ConnectionOptions.NEW));
  }

  private void returnUnstarted(AgentAttempt attempt, FailureType why) {
    sendFailed(attempt, why, Outcome.NOT_RUN, parameters.endpoint().value(), false);
    finish(attempt);
  }

  /**
   * Tells whether a start has become too late since it was decided, for example because the process
   * was paused.
   */
  private synchronized boolean startsTooLate() {
    return !scheduler.mayStart(clock.millis());
  }

  private Runnable loadTask(AgentAction.Load load) {
    loadsInFlight++;
    return () -> orderLoad(load);
  }

  private void orderLoad(AgentAction.Load load) {
    if (!acceptsRequests()) {
      loadEnded(load.adapter(), backoffFailure());
      return;
    }
    parameters
        .fencing()
        .number()
        .thenCompose(number -> evictAndLoad(load, number))
        .thenCompose(done -> checkIncarnation())
        .whenComplete((done, thrown) -> loadEnded(load.adapter(), thrown));
  }

  private CompletableFuture<Void> evictAndLoad(AgentAction.Load load, FencingNumber number) {
    CompletableFuture<Void> evicted =
        load.evict()
            .map(victim -> orders.unload(victim, number))
            .orElseGet(() -> CompletableFuture.completedFuture(null));
    AdapterRef adapter = load.adapter();
    return evicted.thenCompose(
        done -> orders.load(adapter, weightsLocation.apply(adapter), number));
  }

  /**
   * Checks the engine's incarnation before a load counts as done. A restarted engine may accept an
   * order before its agent notices the restart. If the load were recorded first and the restart
   * after a request had started on the adapter, the request would lose its pin while it runs and
   * its adapter could be evicted. An engine that does not answer this check does not fail the load.
   */
  private CompletableFuture<Void> checkIncarnation() {
    return requestEngineState().handle((state, thrown) -> null);
  }

  private void loadEnded(AdapterRef adapter, Throwable thrown) {
    synchronized (this) {
      loadsInFlight--;
      loadsEnded++;
      if (thrown == null) {
        EventLog.log(
            EventType.ADAPTER_LOADED, "adapter", adapter, "endpoint", parameters.endpoint());
        scheduler.loaded(adapter, clock.millis());
      } else {
        HornbeamusherException failure = HornbeamusherException.from(thrown);
        EventLog.log(
            EventType.ADAPTER_LOAD_FAILED,
            "adapter",
            adapter,
            "endpoint",
            parameters.endpoint(),
            "failure",
            failure.type());
        scheduler.loadFailed(adapter, clock.millis());
      }
    }
    permits.release();
    if (thrown != null) {
      requestEngineState();
      drainIfSuperseded(HornbeamusherException.from(thrown));
    }
    poll();
  }

  /**
   * Starts draining when a refused fencing number shows that a later agent has taken over, for
   * example after a long pause of this one. Two agents that send orders to one engine would evict
   * adapters that the other one's requests use.
   */
  private void drainIfSuperseded(HornbeamusherException failure) {
    if (failure.type() == FailureType.STALE_FENCING_NUMBER) {
      EventLog.log(EventType.AGENT_SUPERSEDED, "endpoint", parameters.endpoint());
      parameters.superseded().run();
    }
  }

  @Override
  public void completed(AgentAttempt attempt) {
    finish(attempt);
  }

  /**
   * {@inheritDoc}
   *
   * <p>The refusal proves that the attempt did not run. Not found means that the engine restarted
   * or evicted the adapter without an order of this agent; too many requests means that a run ended
   * later at the engine than here. In both cases the attempt is requeued, invisibly to the caller.
   */
  @Override
  public void rejected(AgentAttempt attempt, int status, String body) {
    boolean retryable = status == NOT_FOUND || status == TOO_MANY_REQUESTS;
    if (retryable && requeue(attempt)) {
      requestEngineState().thenRun(this::poll);
      return;
    }
    Outcome outcome = status >= FIRST_SERVER_ERROR ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    sendFailed(attempt, FailureType.ENDPOINT_FAILED, outcome, "status " + status, false);
    finish(attempt);
  }

  private synchronized boolean requeue(AgentAttempt attempt) {
    if (!attempts.contains(attempt) || attempt.requeue() > MAX_REQUEUES) {
      return false;
    }
    scheduler.finished(attempt.ticket(), clock.millis());
    scheduler.submit(toQueuedRequest(attempt), clock.millis());
    return true;
  }

  @Override
  public void failed(AgentAttempt attempt, HornbeamusherException failure) {
    if (failure.outcome() instanceof Outcome.NotRun) {
      if (failure.type() == FailureType.SEND_WITHDRAWN) {
        returnUnstarted(attempt, FailureType.ENDPOINT_BACKOFF);
        return;
      }
      sendFailed(attempt, FailureType.ENDPOINT_FAILED, Outcome.NOT_RUN, "unreachable", false);
      finish(attempt);
      requestEngineState();
      return;
    }
    if (isRejectedResponse(failure.type())) {
      String detail = ResponseFault.of(failure).map(ResponseFault::text).orElse("");
      sendFailed(attempt, failure.type(), Outcome.UNKNOWN, detail, false);
      finish(attempt);
      return;
    }
    String before = attempt.startedOn();
    requestEngineState()
        .handle((state, thrown) -> thrown != null || !state.incarnation().equals(before))
        .thenAccept(
            crashed -> {
              sendFailed(attempt, FailureType.ANSWER_CUT, Outcome.UNKNOWN, "cut", crashed);
              finish(attempt);
            });
  }

  /**
   * Returns whether this agent has rejected what the endpoint sent. The endpoint did not crash
   * then.
   */
  private static boolean isRejectedResponse(FailureType type) {
    return type == FailureType.RESPONSE_MALFORMED || type == FailureType.RESPONSE_UNBOUNDED;
  }

  /** Requests the engine's state and applies it. A plain service has no state. */
  CompletableFuture<EngineState> requestEngineState() {
    if (!parameters.model()) {
      return CompletableFuture.failedFuture(
          HornbeamusherException.of(
              FailureType.ENDPOINT_FAILED,
              Outcome.UNKNOWN,
              parameters.endpoint(),
              "it has no state"));
    }
    if (!acceptsRequests()) {
      return CompletableFuture.failedFuture(backoffFailure());
    }
    long loadsEndedBefore = loadsEnded();
    return orders
        .state()
        .whenComplete((state, thrown) -> stateReceived(state, thrown, loadsEndedBefore));
  }

  private synchronized long loadsEnded() {
    return loadsEnded;
  }

  private void stateReceived(EngineState state, Throwable thrown, long loadsEndedBefore) {
    applyState(state, thrown, loadsEndedBefore);
    if (thrown == null) {
      parameters.fencing().engineStateReceived(state.fencing());
    }
  }

  private synchronized void applyState(EngineState state, Throwable thrown, long loadsEndedBefore) {
    endpointDown = thrown != null;
    if (thrown != null) {
      return;
    }
    if (!state.incarnation().equals(engineIncarnation)) {
      boolean first = engineIncarnation.isEmpty();
      engineIncarnation = state.incarnation();
      if (!first) {
        EventLog.log(EventType.ENDPOINT_RESTARTED, "endpoint", parameters.endpoint());
        scheduler.endpointRestarted(clock.millis());
      }
    }
    // A load that ended after the request was sent may be missing from the state. Applying such a
    // state would lose a resident adapter and load it twice; the next state will contain it.
    if (loadsEndedBefore == loadsEnded && loadsInFlight == 0) {
      scheduler.residencyObserved(state.resident(), clock.millis());
    }
  }

  private void finish(AgentAttempt attempt) {
    synchronized (this) {
      if (!attempts.contains(attempt)) {
        return;
      }
      attempts.remove(attempt);
      scheduler.finished(attempt.ticket(), clock.millis());
    }
    poll();
  }

  /** Returns the message that an attempt was not started and will not be. */
  static Message refusal(Message.Dispatch dispatch, FailureType type, Object detail) {
    return refusal(dispatch, type, detail, RETRY_AFTER_MILLIS);
  }

  private static Message refusal(
      Message.Dispatch dispatch, FailureType type, Object detail, long retryAfterMillis) {
    return new Message.Failed(
        dispatch.attempt(),
        type.number(),
        Outcome.NOT_RUN.label(),
        retryAfterMillis,
        detail.toString(),
        false);
  }

  private void sendFailed(
      AgentAttempt attempt, FailureType type, Outcome outcome, String detail, boolean crashed) {
    attempt
        .connection()
        .send(
            new Message.Failed(
                attempt.dispatch().attempt(), type.number(), outcome.label(), -1, detail, crashed));
  }
}
