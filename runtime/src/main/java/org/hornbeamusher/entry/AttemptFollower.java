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

/** Follows one attempt from its dispatch to its end and writes what it yields. */
final class AttemptFollower {

  /**
   * An agent refuses what it cannot finish in time by itself, with the proof that it did not run.
   * Its word may be on the way when the deadline passes here; it is worth this little wait.
   */
  private static final long GRACE_MILLIS = 50;

  /** How often routing is told how fast an answer comes that is under way. */
  private static final long PROGRESS_MILLIS = 1_000;

  private final AdmittedRequest request;
  private final EndpointId endpoint;
  private final AttemptCall call;
  private final AnswerWriter writer;
  private final Clock clock;
  private final AnswerReader reader;
  private final long sentMillis;
  private long loadStallMillis;
  private long firstPartMillis = -1;
  private int tokens;
  private long nextProgressMillis;

  AttemptFollower(
      AdmittedRequest request,
      EndpointId endpoint,
      AttemptCall call,
      AnswerWriter writer,
      Clock clock) {
    this.request = request;
    this.endpoint = endpoint;
    this.call = call;
    this.writer = writer;
    this.clock = clock;
    this.reader = new AnswerReader(endpoint, request.adapter(), call.attempt());
    this.sentMillis = clock.millis();
    this.nextProgressMillis = sentMillis + PROGRESS_MILLIS;
  }

  /** Returns when the answer is whole and written. */
  AttemptResult.Completed follow(EntryDecisions decisions)
      throws InterruptedException, AttemptFailedException {
    boolean ended = false;
    try {
      while (true) {
        AttemptEvent event = call.next(request.deadlineMillis() + GRACE_MILLIS - clock.millis());
        if (event == null) {
          throw failed(of(FailureType.DEADLINE_PASSED), expired(), false);
        }
        boolean whole = handle(event);
        tellProgress(decisions);
        if (whole) {
          ended = true;
          decisions.tokensSeen(request.document().pool(), tokens, clock.millis() - firstPartMillis);
          return answered();
        }
      }
    } catch (HornbeamusherException broken) {
      throw failed(broken, resultOf(broken), false);
    } finally {
      if (ended) {
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

  private void tellProgress(EntryDecisions decisions) {
    if (firstPartMillis >= 0 && clock.millis() >= nextProgressMillis) {
      nextProgressMillis = clock.millis() + PROGRESS_MILLIS;
      decisions.progress(endpoint, busyMillis(), tokens);
    }
  }

  private AttemptResult.Completed answered() {
    long first = firstPartMillis < 0 ? clock.millis() : firstPartMillis;
    return new AttemptResult.Completed(
        first - sentMillis, clock.millis() - sentMillis, loadStallMillis, tokens);
  }

  /** Takes in an event and tells whether the answer is whole. */
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
              new AnswerHead(
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
    Optional<AnswerEnd> end = reader.end();
    end.ifPresent(writer::end);
    return end.isPresent();
  }

  private void write(Message.Chunk chunk) {
    List<AnswerPart> parts = reader.read(chunk);
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
