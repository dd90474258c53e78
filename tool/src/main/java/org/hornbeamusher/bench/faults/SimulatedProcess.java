package org.hornbeamusher.bench.faults;

import java.util.ArrayDeque;

/** A process that may be paused, with its actions deferred to the end of the pause, or crash. */
final class SimulatedProcess {

  private final Timeline timeline;
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private long pausedUntil = Long.MIN_VALUE;
  private long lastPaused = Long.MIN_VALUE;
  private boolean dead;

  SimulatedProcess(Timeline timeline) {
    this.timeline = timeline;
  }

  /** Runs an action now, or after the current pause; never if the process has crashed. */
  void run(Runnable action) {
    if (dead) {
      return;
    }
    if (paused()) {
      deferred.add(action);
    } else {
      action.run();
    }
  }

  void pause(long millis) {
    if (dead || paused()) {
      return;
    }
    pausedUntil = timeline.now() + millis;
    lastPaused = timeline.now();
    timeline.after(millis, this::resume);
  }

  void die() {
    dead = true;
    deferred.clear();
  }

  boolean alive() {
    return !dead;
  }

  /** Returns whether the process was paused at any time since the given time. */
  boolean pausedSince(long millis) {
    return lastPaused >= millis || pausedUntil > millis;
  }

  private boolean paused() {
    return timeline.now() < pausedUntil;
  }

  private void resume() {
    while (!deferred.isEmpty() && !paused() && !dead) {
      deferred.poll().run();
    }
  }
}
