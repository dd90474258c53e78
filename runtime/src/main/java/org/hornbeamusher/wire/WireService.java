package org.hornbeamusher.wire;

/** Opens or accepts connections between {@link #start} and {@link #stop}. */
public interface WireService {

  /**
   * Starts to connect or to listen.
   *
   * @throws org.hornbeamusher.failure.HornbeamusherException of type {@code CONNECT_FAILED} when
   *     the address cannot be listened on
   */
  void start();

  /** Closes every connection and stops opening or accepting new ones. */
  void stop();
}
