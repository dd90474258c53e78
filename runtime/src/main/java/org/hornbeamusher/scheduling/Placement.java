package org.hornbeamusher.scheduling;

import org.hornbeamusher.ids.AdapterRef;

/** Whether an adapter can be loaded now, and at whose cost. */
sealed interface Placement {

  /** A slot is empty. */
  record FreeSlot() implements Placement {}

  /**
   * A slot is emptied first.
   *
   * @param victim what is unloaded; not pinned
   */
  record Evict(AdapterRef victim) implements Placement {}

  /**
   * Every slot is taken by an adapter that may not leave yet.
   *
   * @param untilMillis when a minimum stay ends that holds one of them; {@link Long#MAX_VALUE} when
   *     only a request's end can help
   */
  record NoRoom(long untilMillis) implements Placement {}
}
