package org.hornbeamusher.bench.faults;

/** One connection between an entry and an agent; its messages may be late, repeated or lost. */
final class Link {

  private static final long CONTROL_MILLIS = 5;

  private final Timeline timeline;
  private final Chaos chaos;
  private final long ordinal;
  private final DispatchEntry entry;
  private final DispatchAgent agent;
  private boolean closed;
  private boolean silent;

  Link(Timeline timeline, Chaos chaos, long ordinal, DispatchEntry entry, DispatchAgent agent) {
    this.timeline = timeline;
    this.chaos = chaos;
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

  void toEntry(Runnable message) {
    transfer(entry.process(), message);
  }

  void toAgent(Runnable message) {
    transfer(agent.process(), message);
  }

  /** Sends a message about the connection itself; these keep their order. */
  void tellEntry(Runnable message) {
    tell(entry.process(), message);
  }

  void tellAgent(Runnable message) {
    tell(agent.process(), message);
  }

  /** Draws what the network does to the connection; called once a second. */
  void strike() {
    if (closed || silent) {
      return;
    }
    if (chaos.strikes(Fault.CONNECTION_SILENT, 0.01)) {
      silent = true;
    }
    if (chaos.strikes(Fault.CONNECTION_CUT, 0.02)) {
      close();
    }
  }

  /** Ends the connection; each end hears of it after a while, unless it ended it itself. */
  void close() {
    if (closed) {
      return;
    }
    closed = true;
    if (!silent) {
      timeline.after(chaos.between(1, 50), () -> entry.process().run(() -> entry.closed(this)));
      timeline.after(chaos.between(1, 50), () -> agent.process().run(() -> agent.closed(this)));
    }
  }

  private void tell(Process target, Runnable message) {
    if (!closed && !silent) {
      timeline.after(CONTROL_MILLIS, () -> target.run(message));
    }
  }

  private void transfer(Process target, Runnable message) {
    if (closed || silent) {
      return;
    }
    if (chaos.strikes(Fault.FRAME_LOST, 0.001)) {
      silent = true;
      return;
    }
    boolean delayed = chaos.strikes(Fault.FRAME_DELAYED, 0.03);
    long delay = delayed ? chaos.between(50, 1_500) : chaos.between(1, 15);
    timeline.after(delay, () -> target.run(message));
    if (chaos.strikes(Fault.FRAME_DUPLICATED, 0.03)) {
      timeline.after(chaos.between(1, 2_000), () -> target.run(message));
    }
  }
}
