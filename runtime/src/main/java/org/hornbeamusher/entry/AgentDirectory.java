package org.hornbeamusher.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Where agents are found. What it says is late; what an agent says of itself goes before it. */
@FunctionalInterface
public interface AgentDirectory {

  /**
   * Lists the agents that live.
   *
   * @return their addresses; fails while the list cannot be read
   */
  CompletableFuture<List<InetSocketAddress>> agents();
}
