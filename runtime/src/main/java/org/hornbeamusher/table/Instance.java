package org.hornbeamusher.table;

import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.PoolName;

/**
 * One instance as the platform's list shows it.
 *
 * @param id names the instance; a replacement has another one
 * @param host its IP number
 * @param port where its process listens for peers
 * @param role what runs there
 * @param zone its availability zone
 * @param pool what an agent's endpoint belongs to; of an entry, the partner's entry pool
 * @param leaving whether the platform is about to take it away
 */
public record Instance(
    String id,
    String host,
    int port,
    Role role,
    AvailabilityZone zone,
    PoolName pool,
    boolean leaving) {

  /** What runs on an instance. */
  public enum Role {
    /** Takes callers' requests. */
    ENTRY,
    /** Runs beside an endpoint. */
    AGENT
  }
}
