package org.hornbeamusher.table;

import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.PoolName;

/**
 * One instance in the platform's instance list.
 *
 * @param id identifies the instance; a replacement gets another id
 * @param host its IP address
 * @param port the port on which its process listens for peers
 * @param role what runs there
 * @param zone its availability zone
 * @param pool of an agent, the pool of its endpoint; of an entry, the partner's entry pool
 * @param leaving whether the platform is about to terminate it
 */
public record Instance(
    String id,
    String host,
    int port,
    Role role,
    AvailabilityZone zone,
    PoolName pool,
    boolean leaving) {

  /** The kind of process that runs on an instance. */
  public enum Role {
    /** Accepts callers' requests. */
    ENTRY,
    /** Runs next to an endpoint. */
    AGENT
  }
}
