package org.hornbeamusher.forwarding;

import java.util.Optional;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.ConnectionOptions;
import org.hornbeamusher.http.ConnectionUse;
import org.hornbeamusher.http.EchoedId;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpStream;
import org.hornbeamusher.http.HttpStreamListener;
import org.hornbeamusher.http.ResponseFault;
import org.hornbeamusher.placement.EndpointView;

/**
 * One send of a request to one endpoint. Distinguishes a valid response to this request from
 * anything else that arrives on the connection, and determines whether the request ran.
 */
final class Attempt implements HttpStreamListener {

  /** Covers a packet each way between availability zones and a busy peer. */
  private static final long CONNECT_MILLIS = 400;

  /** The body of a refusal is a short text; one without end would delay the next attempt. */
  private static final int MAX_REFUSAL_BYTES = 64 * 1024;

  /** A request that crashes its endpoint does so before it has been answered for this long. */
  private static final long CRASH_MILLIS = 1_000;

  private final EndpointView endpoint;
  private final HeaderCodec dialect;
  private final EndpointStateUpdater statements;
  private final Clock clock;
  private final String requestId;
  private final Optional<EchoedId> id;
  private final boolean repeatable;
  private final Listener listener;
  private HttpStream stream;
  private long sentMillis;

  /** When the first part of the body arrived; -1 before. */
  private long firstDataMillis = -1;

  /** When the last part of the body arrived. */
  private long lastDataMillis;

  private long longestPauseMillis;

  private HttpHead refused;

  /** Bytes of the body of a refusal, which is not relayed. */
  private long refusalBytes;

  /** The status of the response; 0 before it arrives. */
  private int status;

  private boolean success;
  private ResponseMetadata metadata = ResponseMetadata.NONE;
  private ConnectionUse connection = ConnectionUse.NONE;
  private boolean ended;
  private boolean sendStarted;

  /** When the first byte was written. */
  private long firstByteMillis;

  private boolean paused;
  private int pauses;

  /** Whether the endpoint's side ended the connection. */
  private boolean endedByPeer;

  Attempt(
      EndpointView endpoint,
      ForwardContext context,
      RequestMetadata request,
      boolean repeatable,
      Listener listener) {
    this.endpoint = endpoint;
    this.dialect = context.headerCodec();
    this.statements = context.stateUpdater();
    this.clock = context.clock();
    this.requestId = request.id();
    this.id = dialect.echoedId(request);
    this.repeatable = repeatable;
    this.listener = listener;
  }

  void send(HttpClient http, HttpRequest call, int maxConnections) {
    sentMillis = clock.millis();
    stream = http.stream(call, this, connectionOptions(maxConnections));
    if (ended) {
      stream.cancel();
    }
  }

  /**
   * A refusal that names no request and may belong to an earlier one of its connection does not
   * show that this one did not run. A request that may run only once is therefore sent on a new
   * connection while its endpoint sends such responses.
   */
  private ConnectionOptions connectionOptions(int maxConnections) {
    boolean reuse = repeatable || !endpoint.sendsUnnamedResponses(sentMillis);
    return new ConnectionOptions(CONNECT_MILLIS, maxConnections, reuse, id);
  }

  EndpointView endpoint() {
    return endpoint;
  }

  /** Returns when the request was sent. */
  long sentMillis() {
    return sentMillis;
  }

  /** Returns how long the request waited for its connection; -1 if nothing was sent. */
  long connectionWaitMillis() {
    return sendStarted ? firstByteMillis - sentMillis : -1;
  }

  /** Returns the status of the response; 0 before it arrives. */
  int status() {
    return status;
  }

  /** Returns the metadata of the response; empty before it arrives. */
  ResponseMetadata metadata() {
    return metadata;
  }

  /** Returns the use of the connection when the request was sent. */
  ConnectionUse connection() {
    return connection;
  }

  /** Returns how many copies of responses to earlier requests arrived before the response. */
  int skippedResponses() {
    return stream == null ? 0 : stream.skippedResponses();
  }

  /** Returns whether the endpoint's side ended the exchange, and not this entry. */
  boolean endedByPeer() {
    return endedByPeer;
  }

  /** Returns the time from the send to the first part of the body; -1 if none has arrived. */
  long firstDataAfterMillis() {
    return firstDataMillis < 0 ? -1 : firstDataMillis - sentMillis;
  }

  /** Returns the longest time between two parts of the body; 0 before the second. */
  long longestPauseMillis() {
    return longestPauseMillis;
  }

  /** Returns whether the endpoint has answered with success, wholly or in part. */
  boolean answered() {
    return firstDataMillis >= 0 && success;
  }

  /** Returns whether it has been answering with success for so long that it will not crash. */
  boolean answeredForLong() {
    return answered() && clock.millis() - firstDataMillis >= CRASH_MILLIS;
  }

  /** Returns what this attempt shows if its endpoint crashes. */
  AttemptEvidence evidence() {
    return new AttemptEvidence(sentMillis, endedByPeer, answeredForLong());
  }

  /** Stops reading the response until {@link #resumeReading}. */
  void pauseReading() {
    if (!paused && !ended) {
      paused = true;
      pauses++;
      stream.pause();
    }
  }

  /** Resumes reading if it is paused. */
  void resumeReading() {
    if (paused) {
      paused = false;
      stream.resume();
    }
  }

  /** Returns how often reading was paused because the caller read more slowly. */
  int pauses() {
    return pauses;
  }

  /** Returns whether any part of the request may have reached the endpoint. */
  boolean mayHaveBeenSent() {
    return sendStarted;
  }

  /** Cancels the attempt; the listener is not called any more. */
  void cancel() {
    ended = true;
    if (stream != null) {
      stream.cancel();
    }
  }

  @Override
  public void connected(ConnectionUse use) {
    connection = use;
  }

  @Override
  public boolean shouldSend() {
    boolean accepted = endpoint.takesRequests(clock.millis()) && listener.maySend();
    if (accepted) {
      sendStarted = true;
      firstByteMillis = clock.millis();
      listener.sending(this);
    }
    return accepted;
  }

  @Override
  public void head(HttpHead head) {
    if (ended) {
      return;
    }
    status = head.status();
    success = head.isSuccess();
    metadata = dialect.parseResponse(head);
    if (namesOtherRequest()) {
      breakOff(FailureType.FOREIGN_ANSWER);
      return;
    }
    if (!namesThisRequest()) {
      endpoint.unnamedResponse(clock.millis());
    }
    if (!answersThisRequest()) {
      breakOff(FailureType.FOREIGN_ANSWER);
      return;
    }
    if (isAttributed()) {
      statements.recordResponse(
          endpoint, metadata, head.isSuccess() && metadata.sealPresent(), sentMillis);
    }
    if (metadata.notRun()) {
      refused = head;
    } else if (head.isSuccess() && !metadata.sealPresent()) {
      breakOff(FailureType.UNSIGNED_ANSWER);
    } else if (CallerResponse.guaranteesNotRun(head.status())) {
      // To the caller this status means that the request did not run, which the endpoint did not
      // state.
      breakOff(FailureType.ENDPOINT_FAILED);
    } else {
      listener.head(this, head);
    }
  }

  /** Returns whether the response names the request that was sent. */
  boolean namesThisRequest() {
    return metadata.requestId().filter(requestId::equals).isPresent();
  }

  private boolean namesOtherRequest() {
    return metadata.requestId().isPresent() && !namesThisRequest();
  }

  /**
   * Returns whether the response is certainly that to this send. One that names no request can
   * belong to any request that its connection has carried; one that names this request belongs to
   * this send because a connection carries a request once.
   */
  boolean isAttributed() {
    return namesThisRequest() || connection.isFirst();
  }

  /**
   * Returns whether the response is handled as that to this send. The refusal of a repeatable
   * request is, because a second run of it does no harm; it does not show that it did not run.
   */
  private boolean answersThisRequest() {
    return isAttributed() || (repeatable && metadata.notRun());
  }

  @Override
  public boolean mayReuseConnection() {
    return namesThisRequest();
  }

  private void breakOff(FailureType cause) {
    cancel();
    listener.ended(this, new AttemptOutcome.Failed(cause));
  }

  @Override
  public void data(byte[] bytes) {
    if (ended) {
      return;
    }
    if (refused != null) {
      refusalBytes += bytes.length;
      if (refusalBytes > MAX_REFUSAL_BYTES) {
        cancel();
        listener.ended(this, new AttemptOutcome.Refused(refused.status()));
      }
    } else {
      statements.recordData(endpoint);
      long now = clock.millis();
      if (firstDataMillis < 0) {
        firstDataMillis = now;
      } else {
        longestPauseMillis = Math.max(longestPauseMillis, now - lastDataMillis);
      }
      lastDataMillis = now;
      listener.data(this, bytes);
    }
  }

  @Override
  public void end() {
    if (!ended) {
      ended = true;
      endedByPeer = true;
      listener.ended(
          this,
          refused == null
              ? new AttemptOutcome.Completed()
              : new AttemptOutcome.Refused(refused.status()));
    }
  }

  @Override
  public void failed(Throwable failure) {
    if (ended) {
      return;
    }
    ended = true;
    if (refused != null) {
      // The head states that the request did not run, even if the rest of the refusal was lost.
      listener.ended(this, new AttemptOutcome.Refused(refused.status()));
      return;
    }
    Optional<ResponseFault> fault = ResponseFault.of(failure);
    listener.ended(
        this, fault.isPresent() ? new AttemptOutcome.Malformed(fault.get()) : outcome(failure));
  }

  private AttemptOutcome outcome(Throwable failure) {
    FailureType type = HornbeamusherException.from(failure).type();
    return switch (type) {
      case CONNECT_FAILED -> new AttemptOutcome.NotSent();
      case SEND_WITHDRAWN -> new AttemptOutcome.Withdrawn();
      case CONNECTIONS_IN_USE -> new AttemptOutcome.NoConnection();
      case RESPONSE_UNBOUNDED, FOREIGN_ANSWER -> new AttemptOutcome.Failed(type);
      default -> {
        endedByPeer = true;
        yield new AttemptOutcome.Failed(FailureType.ENDPOINT_LOST);
      }
    };
  }

  /** Receives the progress of an attempt. */
  interface Listener {

    /** Returns whether the request may still be sent; called right before the first byte. */
    boolean maySend();

    /** Called right before the first byte is sent; not called if nothing is sent. */
    void sending(Attempt attempt);

    /** Called when the head of a valid response has arrived. */
    void head(Attempt attempt, HttpHead head);

    /** Called for each part of the body. */
    void data(Attempt attempt, byte[] bytes);

    /** Called once, when the attempt has ended. */
    void ended(Attempt attempt, AttemptOutcome end);
  }
}
