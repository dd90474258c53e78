package org.hornbeamusher.agent;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/**
 * The attempts that are queued or running at this agent, by ticket and by the entry's attempt
 * number. Every method is called under the lock of {@link EndpointExecutor}.
 */
final class AttemptRegistry {

  private final Map<Long, AgentAttempt> byTicket = new HashMap<>();
  private final Map<Key, AgentAttempt> byKey = new HashMap<>();

  /** Tickets are never reused, so that a late event of an ended attempt has no effect. */
  private long nextTicket;

  /** Identifies an attempt among those of all entries. */
  private record Key(WireConnection connection, long attempt) {}

  AgentAttempt add(
      WireConnection connection, Message.Dispatch dispatch, AgentAttempt.Listener listener) {
    AgentAttempt attempt = new AgentAttempt(connection, dispatch, nextTicket++, listener);
    byTicket.put(attempt.ticket(), attempt);
    byKey.put(new Key(connection, dispatch.attempt()), attempt);
    return attempt;
  }

  AgentAttempt ofTicket(long ticket) {
    return byTicket.get(ticket);
  }

  Optional<AgentAttempt> find(WireConnection connection, long attempt) {
    return Optional.ofNullable(byKey.get(new Key(connection, attempt)));
  }

  List<Long> attemptsOf(WireConnection connection) {
    return byKey.keySet().stream()
        .filter(key -> key.connection() == connection)
        .map(Key::attempt)
        .toList();
  }

  boolean contains(AgentAttempt attempt) {
    return byTicket.get(attempt.ticket()) == attempt;
  }

  void remove(AgentAttempt attempt) {
    byTicket.remove(attempt.ticket());
    byKey.remove(new Key(attempt.connection(), attempt.dispatch().attempt()));
  }

  int size() {
    return byTicket.size();
  }
}
