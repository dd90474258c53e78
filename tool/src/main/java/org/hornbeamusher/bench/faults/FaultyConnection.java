package org.hornbeamusher.bench.faults;

/** A connection between an entry and an agent; messages may be delayed, duplicated or lost. */
final class FaultyConnection {

  private static final long CONTROL_DELAY_MILLIS = 5;

  private final Timeline timeline;
  private final FaultInjector injector;
  private final long ordinal;
  private final DispatchEntry entry;
  private final DispatchAgent agent;
  private boolean closed;
  private boolean silent;

  FaultyConnection(
      Timeline timeline,
      FaultInjector injector,
      long ordinal,
      DispatchEntry entry,
      DispatchAgent agent) {
    this.timeline = timeline;
    this.injector = injector;
    this.ordinal = ordinal;
    this.entry = entry;
    this.agent = agent;
  }

  long ordinal() {
    return ordinal;
  }

  DispatchAgent agent() {
    return agent;
  }

  DispatchEntry entry() {
    return entry;
  }

  void sendToEntry(Runnable message) {
    transfer(entry.process(), message);
  }

  void sendToAgent(Runnable message) {
    transfer(agent.process(), message);
  }

  /**
   * Sends a control message to the entry; control messages have a fixed delay and stay in order.
   */
  void sendControlToEntry(Runnable message) {
    sendControl(entry.process(), message);
  }

  void sendControlToAgent(Runnable message) {
    sendControl(agent.process(), message);
  }

  /** Draws network faults of the connection; called once per second. */
  void injectFaults() {
    if (closed || silent) {
      return;
    }
    if (injector.occurs(Fault.CONNECTION_SILENT, 0.01)) {
      silent = true;
    }
    if (injector.occurs(Fault.CONNECTION_CUT, 0.02)) {
      close();
    }
  }

  /**
   * Closes the connection; both ends are notified after a short delay, unless the connection is
   * unresponsive.
   */
  void close() {
    if (closed) {
      return;
    }
    closed = true;
    if (!silent) {
      timeline.after(
          injector.between(1, 50), () -> entry.process().run(() -> entry.connectionClosed(this)));
      timeline.after(
          injector.between(1, 50), () -> agent.process().run(() -> agent.connectionClosed(this)));
    }
  }

  private void sendControl(SimulatedProcess target, Runnable message) {
    if (!closed && !silent) {
      timeline.after(CONTROL_DELAY_MILLIS, () -> target.run(message));
    }
  }

  private void transfer(SimulatedProcess target, Runnable message) {
    if (closed || silent) {
      return;
    }
    if (injector.occurs(Fault.FRAME_LOST, 0.001)) {
      silent = true;
      return;
    }
    boolean delayed = injector.occurs(Fault.FRAME_DELAYED, 0.03);
    long delay = delayed ? injector.between(50, 1_500) : injector.between(1, 15);
    timeline.after(delay, () -> target.run(message));
    if (injector.occurs(Fault.FRAME_DUPLICATED, 0.03)) {
      timeline.after(injector.between(1, 2_000), () -> target.run(message));
    }
  }
}
