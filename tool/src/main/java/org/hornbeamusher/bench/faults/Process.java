package org.hornbeamusher.bench.faults;

import java.util.ArrayDeque;

/** A process that may stand still for a while, doing late what it should have done, or die. */
final class Process {

  private final Timeline timeline;
  private final ArrayDeque<Runnable> late = new ArrayDeque<>();
  private long pausedUntil = Long.MIN_VALUE;
  private long lastPaused = Long.MIN_VALUE;
  private boolean dead;

  Process(Timeline timeline) {
    this.timeline = timeline;
  }

  /** Does something now, when the pause ends, or never. */
  void run(Runnable action) {
    if (dead) {
      return;
    }
    if (paused()) {
      late.add(action);
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
    timeline.after(millis, this::wake);
  }

  void die() {
    dead = true;
    late.clear();
  }

  boolean alive() {
    return !dead;
  }

  /** Tells whether the process stood still at any time since. */
  boolean pausedSince(long millis) {
    return lastPaused >= millis || pausedUntil > millis;
  }

  private boolean paused() {
    return timeline.now() < pausedUntil;
  }

  private void wake() {
    while (!late.isEmpty() && !paused() && !dead) {
      late.poll().run();
    }
  }
}
