package org.hornbeamusher.forwarding;

import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.HttpCall;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpStream;
import org.hornbeamusher.http.HttpStreamListener;
import org.hornbeamusher.placement.EndpointView;

/**
 * One send of a request to one endpoint: tells an answer to this request from everything else that
 * may come on the connection, and whether the request ran.
 */
final class Attempt implements HttpStreamListener {

  /** Two ways between zones and a busy peer; a connection that takes longer is not coming. */
  private static final long CONNECT_MILLIS = 400;

  private final EndpointView endpoint;
  private final Dialect dialect;
  private final AnswerStatements statements;
  private final Clock clock;
  private final String requestId;
  private final Listener listener;
  private HttpStream stream;
  private long sentMillis;
  private HttpHead refused;

  /** What the endpoint answered this attempt with; 0 before it did. */
  private int status;

  private AnswerFacts facts = AnswerFacts.NONE;
  private boolean over;

  Attempt(EndpointView endpoint, ForwardState state, String requestId, Listener listener) {
    this.endpoint = endpoint;
    this.dialect = state.dialect();
    this.statements = state.statements();
    this.clock = state.clock();
    this.requestId = requestId;
    this.listener = listener;
  }

  void send(HttpClient http, HttpCall call, int mostConnections) {
    sentMillis = clock.millis();
    stream = http.stream(call, this, CONNECT_MILLIS, mostConnections);
    if (over) {
      stream.cancel();
    }
  }

  EndpointView endpoint() {
    return endpoint;
  }

  /** Returns what the endpoint answered this attempt with; 0 before it did. */
  int status() {
    return status;
  }

  /** Returns what the endpoint's answer says; nothing before it has come. */
  AnswerFacts facts() {
    return facts;
  }

  /** Ends the attempt; the listener hears nothing more. */
  void cancel() {
    over = true;
    if (stream != null) {
      stream.cancel();
    }
  }

  @Override
  public boolean sending() {
    return endpoint.takesRequests(clock.millis());
  }

  @Override
  public void head(HttpHead head) {
    if (over) {
      return;
    }
    status = head.status();
    AnswerFacts said = dialect.answer(head);
    if (said.requestId().isPresent() && !said.requestId().get().equals(requestId)) {
      breakOff(FailureType.FOREIGN_ANSWER);
      return;
    }
    facts = said;
    statements.answered(endpoint, facts, head.success() && facts.signed(), sentMillis);
    if (facts.notRun()) {
      refused = head;
    } else if (head.success() && !facts.signed()) {
      breakOff(FailureType.UNSIGNED_ANSWER);
    } else if (CallerAnswer.promisesNotRun(head.status())) {
      // The status says to the caller that the request did not run; the endpoint did not say so.
      breakOff(FailureType.ENDPOINT_FAILED);
    } else {
      listener.head(this, head);
    }
  }

  private void breakOff(FailureType cause) {
    cancel();
    listener.ended(this, new AttemptEnd.Broken(cause));
  }

  @Override
  public void data(byte[] bytes) {
    if (!over && refused == null) {
      listener.data(this, bytes);
    }
  }

  @Override
  public void end() {
    if (!over) {
      over = true;
      listener.ended(
          this,
          refused == null ? new AttemptEnd.Answered() : new AttemptEnd.Refused(refused.status()));
    }
  }

  @Override
  public void failed(Throwable failure) {
    if (over) {
      return;
    }
    over = true;
    if (refused != null) {
      // What it said of the request holds even if the rest of its refusal was lost.
      listener.ended(this, new AttemptEnd.Refused(refused.status()));
      return;
    }
    FailureType type = HornbeamusherException.from(failure).type();
    listener.ended(
        this,
        switch (type) {
          case CONNECT_FAILED -> new AttemptEnd.NotSent();
          case SEND_WITHDRAWN -> new AttemptEnd.Withdrawn();
          case CONNECTIONS_IN_USE -> new AttemptEnd.NoConnection();
          default -> new AttemptEnd.Broken(FailureType.ENDPOINT_LOST);
        });
  }

  /** Hears of an attempt. */
  interface Listener {

    /** The endpoint's answer to this request begins. */
    void head(Attempt attempt, HttpHead head);

    /** A part of it. */
    void data(Attempt attempt, byte[] bytes);

    /** The attempt is over; told once. */
    void ended(Attempt attempt, AttemptEnd end);
  }
}
