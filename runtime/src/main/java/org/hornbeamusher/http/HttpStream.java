package org.hornbeamusher.http;

/** Controls an exchange that is under way. Every method may be called from any thread. */
public interface HttpStream {

  /** Ends the exchange by closing its connection; the listener hears nothing more. */
  void cancel();

  /** Stops reading, so that the sender is held back by TCP. */
  void pause();

  /** Reads again after {@link #pause}. */
  void resume();
}
