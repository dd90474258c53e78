package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.wire.Message;

/** The agents that pace the requests to rate-limited endpoints, as seen from an entry. */
interface PacingAgents {

  /** Returns the agent that paces an endpoint; empty if none is connected. */
  Optional<InetSocketAddress> pacer(EndpointIncarnation endpoint);

  /** Sends a message to the agent at an address; dropped if it is not connected. */
  void send(InetSocketAddress agent, Message message);

  /** Returns the number of entries that share the limits. */
  int entries();
}
