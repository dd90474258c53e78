package org.hornbeamusher.holdings;

import org.hornbeamusher.routes.AdapterKey;

/** One order to an engine. */
public sealed interface EngineOrder {

  /**
   * Returns what the order is about.
   *
   * @return an adapter or a base model
   */
  AdapterKey key();

  /**
   * Load it, or replace it by its newest version.
   *
   * @param key an adapter or a base model
   */
  record Load(AdapterKey key) implements EngineOrder {}

  /**
   * Drop it.
   *
   * @param key an adapter
   */
  record Unload(AdapterKey key) implements EngineOrder {}
}
