package org.hornbeamusher.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/**
 * The attempts that are under way on one connection to one agent.
 *
 * <p>A link lives as long as its connection. Attempts are numbered within it, so that a frame of an
 * earlier connection can never be taken for one of this.
 */
public final class AgentLink {

  private final EndpointId endpoint;
  private final WireConnection connection;
  private final Map<Long, AttemptCall> calls = new ConcurrentHashMap<>();
  private final AtomicLong nextAttempt = new AtomicLong();

  /**
   * Creates a link without attempts.
   *
   * @param endpoint the agent's endpoint
   * @param connection the connection to the agent
   */
  public AgentLink(EndpointId endpoint, WireConnection connection) {
    this.endpoint = endpoint;
    this.connection = connection;
  }

  /**
   * Returns the endpoint behind the link.
   *
   * @return the endpoint
   */
  public EndpointId endpoint() {
    return endpoint;
  }

  /**
   * Sends an attempt.
   *
   * @param dispatch makes the message from the attempt's number
   * @return the attempt, or empty when it was certainly not sent
   */
  public Optional<AttemptCall> open(LongFunction<Message.Dispatch> dispatch) {
    long attempt = nextAttempt.getAndIncrement();
    AttemptCall call = new AttemptCall(this, attempt);
    calls.put(attempt, call);
    if (connection.send(dispatch.apply(attempt))) {
      return Optional.of(call);
    }
    calls.remove(attempt);
    return Optional.empty();
  }

  /**
   * Passes on what the agent said.
   *
   * @param attempt the attempt it is about
   * @param message what it said
   */
  public void heard(long attempt, Message message) {
    AttemptCall call = calls.get(attempt);
    if (call != null) {
      call.add(new AttemptEvent.Said(message));
    }
  }

  /**
   * Tells every attempt that the connection ended.
   *
   * @param reason why
   */
  public void lost(HornbeamusherException reason) {
    for (AttemptCall call : calls.values()) {
      call.add(new AttemptEvent.ConnectionLost(reason));
    }
    calls.clear();
  }

  void send(Message message) {
    connection.send(message);
  }

  void forget(long attempt) {
    calls.remove(attempt);
  }
}
