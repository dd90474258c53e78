package org.hornbeamusher.wire;

/** Opens or accepts connections while it runs. */
public interface WireService {

  /**
   * Begins to connect, or to listen.
   *
   * @throws org.hornbeamusher.failure.HornbeamusherException of type {@code CONNECT_FAILED} when
   *     the address to listen at cannot be had
   */
  void start();

  /** Closes every connection and opens or accepts no other. */
  void stop();
}
