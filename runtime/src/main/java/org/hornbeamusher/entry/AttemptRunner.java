package org.hornbeamusher.entry;

import java.util.List;
import java.util.Optional;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.dispatch.AttemptCall;
import org.hornbeamusher.dispatch.AttemptEvent;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.routing.AttemptResult;
import org.hornbeamusher.wire.Message;

/** Processes the events of one attempt from its dispatch to its end and writes the response. */
final class AttemptRunner {

  /**
   * How long to wait beyond the deadline for an agent's refusal. An agent refuses a request that it
   * cannot finish in time, which proves that the request did not run; the refusal may still be in
   * transit when the deadline passes here.
   */
  private static final long DEADLINE_GRACE_MILLIS = 50;

  /** Interval at which the progress of a response is reported to the router. */
  private static final long PROGRESS_INTERVAL_MILLIS = 1_000;

  private final AdmittedRequest request;
  private final EndpointId endpoint;
  private final AttemptCall call;
  private final ResponseWriter writer;
  private final Clock clock;
  private final ResponseReader reader;
  private final long sentMillis;
  private long loadStallMillis;
  private long firstPartMillis = -1;
  private int tokens;
  private long nextProgressMillis;

  AttemptRunner(
      AdmittedRequest request,
      EndpointId endpoint,
      AttemptCall call,
      ResponseWriter writer,
      Clock clock) {
    this.request = request;
    this.endpoint = endpoint;
    this.call = call;
    this.writer = writer;
    this.clock = clock;
    this.reader = new ResponseReader(endpoint, request.adapter(), call.attempt());
    this.sentMillis = clock.millis();
    this.nextProgressMillis = sentMillis + PROGRESS_INTERVAL_MILLIS;
  }

  /** Runs until the response is complete and written. */
  AttemptResult.Completed run(EntryDecisions decisions)
      throws InterruptedException, AttemptFailedException {
    boolean completed = false;
    try {
      while (true) {
        AttemptEvent event =
            call.next(request.deadlineMillis() + DEADLINE_GRACE_MILLIS - clock.millis());
        if (event == null) {
          throw failed(of(FailureType.DEADLINE_PASSED), expired(), false);
        }
        boolean complete = handle(event);
        reportProgress(decisions);
        if (complete) {
          completed = true;
          decisions.recordTokenInterval(
              request.document().pool(), tokens, clock.millis() - firstPartMillis);
          return completed();
        }
      }
    } catch (HornbeamusherException broken) {
      throw failed(broken, resultOf(broken), false);
    } finally {
      if (completed) {
        call.close();
      } else {
        call.cancel();
      }
    }
  }

  private AttemptResult expired() {
    return new AttemptResult.Expired(busyMillis(), tokens);
  }

  private long busyMillis() {
    return clock.millis() - (firstPartMillis < 0 ? sentMillis : firstPartMillis);
  }

  private void reportProgress(EntryDecisions decisions) {
    if (firstPartMillis >= 0 && clock.millis() >= nextProgressMillis) {
      nextProgressMillis = clock.millis() + PROGRESS_INTERVAL_MILLIS;
      decisions.progressReported(endpoint, busyMillis(), tokens);
    }
  }

  private AttemptResult.Completed completed() {
    long first = firstPartMillis < 0 ? clock.millis() : firstPartMillis;
    return new AttemptResult.Completed(
        first - sentMillis, clock.millis() - sentMillis, loadStallMillis, tokens);
  }

  /** Handles an event and tells whether the response is complete. */
  private boolean handle(AttemptEvent event) throws AttemptFailedException {
    return switch (event) {
      case AttemptEvent.MessageReceived said -> handle(said.message());
      case AttemptEvent.ConnectionLost lost ->
          throw failed(
              of(FailureType.ENDPOINT_LOST, endpoint).causedBy(lost.reason()),
              new AttemptResult.Failed(),
              false);
    };
  }

  private boolean handle(Message message) throws AttemptFailedException {
    switch (message) {
      case Message.Started started -> loadStallMillis = started.loadStallMillis();
      case Message.Head head ->
          writer.begin(
              new ResponseHead(
                  endpoint,
                  request.adapter().map(Object::toString).orElse(""),
                  loadStallMillis,
                  head.status(),
                  head.contentType()));
      case Message.Chunk chunk -> write(chunk);
      case Message.ResponseEnd closing -> reader.read(closing);
      case Message.Failed failed -> throw agentFailure(failed);
      default ->
          throw failed(of(FailureType.ANSWER_CUT, endpoint), new AttemptResult.Failed(), false);
    }
    Optional<ResponseEnd> end = reader.end();
    end.ifPresent(writer::end);
    return end.isPresent();
  }

  private void write(Message.Chunk chunk) {
    List<ResponsePart> parts = reader.read(chunk);
    if (firstPartMillis < 0) {
      firstPartMillis = clock.millis();
    }
    parts.forEach(writer::part);
    tokens += parts.size();
    call.consumed(chunk.bytes().length);
  }

  private AttemptFailedException agentFailure(Message.Failed message) {
    FailureType type = FailureType.ofNumber(message.failureNumber());
    Outcome outcome = Outcome.ofLabel(message.outcome());
    HornbeamusherException failure =
        HornbeamusherException.of(type, outcome, endpoint, message.detail());
    if (message.retryAfterMillis() >= 0) {
      failure = failure.retryAfter(message.retryAfterMillis());
    }
    AttemptResult result =
        outcome instanceof Outcome.NotRun
            ? new AttemptResult.Refused()
            : new AttemptResult.Failed();
    return failed(failure, result, message.crashed());
  }

  private static AttemptResult resultOf(HornbeamusherException broken) {
    return switch (broken.type()) {
      case CALLER_GONE, SLOW_CALLER -> new AttemptResult.Cancelled();
      default -> new AttemptResult.Failed();
    };
  }

  private static HornbeamusherException of(FailureType type, Object... arguments) {
    return HornbeamusherException.of(type, Outcome.UNKNOWN, arguments);
  }

  private static AttemptFailedException failed(
      HornbeamusherException failure, AttemptResult result, boolean crashed) {
    return new AttemptFailedException(failure, result, crashed);
  }
}
