package org.hornbeamusher.forwarding;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.placement.EndpointView;

/**
 * Decides whether requests leave an engine that its agent cannot reach. Confined to the event loop.
 *
 * <p>The agent observes its engine over one path. Its calls also fail when the engine is at its
 * limit of connections, or when the agent itself gets no processor time, while the engine runs the
 * requests of this entry. A request that left such an engine would run twice.
 *
 * <p><b>Algorithm.</b> From the agent's report on, while the agent does not see the engine and this
 * entry has requests there:
 *
 * <ol>
 *   <li>An engine from which something has arrived within the last {@value #CHECK_INTERVAL_MILLIS}
 *       ms counts as running.
 *   <li>Otherwise this entry checks the engine over a new connection of its own. If no process
 *       listens, or another endpoint answers, it has ended, and the requests leave at once.
 *   <li>If the check times out, neither the agent nor this entry reaches the engine, and the
 *       requests leave: their connections may stay open and silent for as long as their callers
 *       wait. A timeout that is noticed late does not count.
 *   <li>An engine that runs is checked again after the interval.
 * </ol>
 *
 * <p>New requests are not placed at the engine meanwhile.
 */
final class UnseenEngines {

  /** Bounds how long the end of an engine that was found to run goes unnoticed. */
  static final long CHECK_INTERVAL_MILLIS = 400;

  /** A check that takes longer timed out because this process had no processor time. */
  private static final long MAX_CHECK_MILLIS = 2 * EngineReachabilityCheck.TIMEOUT_MILLIS;

  private final EndpointCheck check;
  private final Listener listener;
  private final EventLoop loop;
  private final Clock clock;
  private final Map<EndpointId, Unseen> engines = new HashMap<>();

  UnseenEngines(EndpointCheck check, Listener listener, EventLoop loop, Clock clock) {
    this.check = check;
    this.listener = listener;
    this.loop = loop;
    this.clock = clock;
  }

  /** Called when the agent of an engine reports that it cannot reach it. */
  void unseen(EndpointView engine) {
    Unseen unseen = new Unseen(engine, clock.millis());
    engines.put(engine.id(), unseen);
    check(unseen);
  }

  /** Called when the agent sees an incarnation of its engine, this one or the next. */
  void seen(EndpointIncarnation incarnation) {
    engines.remove(incarnation.id());
  }

  /** Returns the number of engines that are checked. */
  int size() {
    return engines.size();
  }

  private boolean isCurrent(Unseen unseen) {
    return engines.get(unseen.engine.id()) == unseen;
  }

  private void check(Unseen unseen) {
    if (!isCurrent(unseen)) {
      return;
    }
    if (!listener.isAffected(unseen.engine)) {
      engines.remove(unseen.engine.id());
      return;
    }
    long silentMillis = unseen.engine.silentMillis(clock.millis());
    if (silentMillis >= 0 && silentMillis < CHECK_INTERVAL_MILLIS) {
      alive(unseen, "received");
      return;
    }
    long sentMillis = clock.millis();
    check
        .check(unseen.engine)
        .thenAccept(result -> loop.execute(() -> checked(unseen, result, sentMillis)));
  }

  private void checked(Unseen unseen, EndpointCheck.Result result, long sentMillis) {
    if (!isCurrent(unseen)) {
      return;
    }
    switch (result) {
      case ALIVE -> alive(unseen, "checked");
      case ENDED -> gone(unseen, "ended");
      default -> {
        if (clock.millis() - sentMillis <= MAX_CHECK_MILLIS) {
          gone(unseen, "unanswered");
        } else {
          check(unseen);
        }
      }
    }
  }

  private void alive(Unseen unseen, String evidence) {
    if (!unseen.loggedAlive) {
      unseen.loggedAlive = true;
      log(unseen, true, evidence);
    }
    loop.after(CHECK_INTERVAL_MILLIS, () -> check(unseen));
  }

  private void gone(Unseen unseen, String evidence) {
    engines.remove(unseen.engine.id());
    log(unseen, false, evidence);
    listener.unreachable(unseen.engine);
  }

  private void log(Unseen unseen, boolean reached, String evidence) {
    long now = clock.millis();
    EventLog.log(
        EventType.UNSEEN_ENGINE_CHECKED,
        "endpoint",
        unseen.engine.id(),
        "start_ms",
        unseen.engine.incarnation().startMillis(),
        "reached",
        reached,
        "evidence",
        evidence,
        "silent_ms",
        unseen.engine.silentMillis(now),
        "after_ms",
        now - unseen.sinceMillis);
  }

  /** Receives the decisions. */
  interface Listener {

    /** Returns whether requests of this entry are, or were lost, at an engine. */
    boolean isAffected(EndpointView engine);

    /** Called when neither the agent nor this entry reaches an engine. */
    void unreachable(EndpointView engine);
  }

  private static final class Unseen {

    private final EndpointView engine;
    private final long sinceMillis;
    private boolean loggedAlive;

    Unseen(EndpointView engine, long sinceMillis) {
      this.engine = engine;
      this.sinceMillis = sinceMillis;
    }
  }
}
