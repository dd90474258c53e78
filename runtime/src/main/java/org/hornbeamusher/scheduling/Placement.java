package org.hornbeamusher.scheduling;

import org.hornbeamusher.ids.AdapterRef;

/** Whether an adapter can be loaded now, and which adapter must be evicted for it. */
sealed interface Placement {

  /** An adapter slot is free. */
  record FreeSlot() implements Placement {}

  /**
   * Another adapter must be evicted first.
   *
   * @param victim the adapter to evict; not pinned
   */
  record Evict(AdapterRef victim) implements Placement {}

  /**
   * Every slot holds an adapter that must not be evicted yet.
   *
   * @param untilMillis when the first minimum residency time of these adapters ends; {@link
   *     Long#MAX_VALUE} if a slot can only be freed by the end of a request
   */
  record NoRoom(long untilMillis) implements Placement {}
}
