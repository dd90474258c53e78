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
 * The attempts in progress on one connection to one agent.
 *
 * <p>A link exists as long as its connection. Attempts are numbered per link, so a frame of an
 * earlier connection can never be attributed to an attempt on this one.
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
   * Returns the endpoint of the agent.
   *
   * @return the endpoint
   */
  public EndpointId endpoint() {
    return endpoint;
  }

  /**
   * Starts an attempt and sends its dispatch message.
   *
   * @param dispatch creates the message for the attempt's number
   * @return the attempt, or empty if the message was certainly not sent
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
   * Delivers a message of the agent to its attempt; a message for an unknown attempt is ignored.
   *
   * @param attempt the attempt that the message belongs to
   * @param message the message
   */
  public void messageReceived(long attempt, Message message) {
    AttemptCall call = calls.get(attempt);
    if (call != null) {
      call.add(new AttemptEvent.MessageReceived(message));
    }
  }

  /**
   * Notifies every attempt that the connection was lost.
   *
   * @param reason the cause
   */
  public void connectionLost(HornbeamusherException reason) {
    for (AttemptCall call : calls.values()) {
      call.add(new AttemptEvent.ConnectionLost(reason));
    }
    calls.clear();
  }

  void send(Message message) {
    connection.send(message);
  }

  void removeAttempt(long attempt) {
    calls.remove(attempt);
  }
}
