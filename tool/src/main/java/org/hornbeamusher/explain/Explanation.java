package org.hornbeamusher.explain;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * How one request came to its end, from the logs of several processes.
 *
 * <p>The request's own lines bear its id. Beside them stand what the agents logged of the engines
 * it was placed at, from its first line to its last: orders for its adapter, and the engine's
 * starts and silences. The deciding line is the one whose outcome the request's end repeats:
 *
 * <ul>
 *   <li>the last attempt that ended as the request did;
 *   <li>where every endpoint wanted no requests for a while, the last that said so before the end;
 *   <li>where no attempt did, the last placing, move or attempt before the end;
 *   <li>else the end itself, as for a request that no route matched.
 * </ul>
 *
 * <p>Lines are ordered by their time. Clocks of instances differ by milliseconds, so that two lines
 * of different files that are as close may stand in the wrong order.
 */
public final class Explanation {

  private static final String ATTEMPT = "ATTEMPT_ENDED";
  private static final String ENDED = "REQUEST_ENDED";
  private static final Set<String> STEPS = Set.of("REQUEST_PLACED", "REQUEST_MOVED", ATTEMPT);
  private static final String ORDERED = "ENGINE_ORDERED";
  private static final Set<String> OF_ENGINES =
      Set.of("ENGINE_SEEN", "ENGINE_UNREACHABLE", "ENDPOINT_GONE", ORDERED);
  private static final String ENDPOINT = "endpoint";
  private static final String BACKOFF = "ENDPOINT_BACKOFF";
  private static final String BACKOFF_CAUSE = "endpoint-backoff";

  /** An engine that ended just before or after the request's end explains it too. */
  private static final long AROUND_MILLIS = 1_000;

  private final List<LogLine> own;
  private final List<LogLine> lines;

  private Explanation(List<LogLine> own, List<LogLine> lines) {
    this.own = own;
    this.lines = lines;
  }

  /**
   * Explains a request.
   *
   * @param id the request's id
   * @param all the lines of every log, in any order
   * @return its explanation; without lines when no line bears the id
   */
  public static Explanation of(String id, List<LogLine> all) {
    List<LogLine> own = ordered(all.stream().filter(line -> line.field("id").equals(id)).toList());
    if (own.isEmpty()) {
      return new Explanation(own, own);
    }
    Engines engines = new Engines(own, all);
    List<LogLine> lines =
        ordered(
            all.stream()
                .filter(line -> own.contains(line) || engines.concerns(line) || refused(own, line))
                .toList());
    return new Explanation(own, lines);
  }

  /** An endpoint wanted no requests of this entry when it refused this one for that reason. */
  private static boolean refused(List<LogLine> own, LogLine line) {
    return line.name().equals(BACKOFF)
        && own.stream()
            .filter(one -> one.field("cause").equals(BACKOFF_CAUSE))
            .filter(one -> one.source().equals(line.source()))
            .anyMatch(end -> line.millis() <= end.millis() && end.millis() <= until(line));
  }

  private static long until(LogLine backoff) {
    return backoff.millis() + Long.parseLong(backoff.field("for_ms"));
  }

  private static List<LogLine> ordered(List<LogLine> lines) {
    return lines.stream().sorted(Comparator.comparingLong(LogLine::millis)).toList();
  }

  /**
   * Returns the lines that tell of the request.
   *
   * @return by time
   */
  public List<LogLine> lines() {
    return lines;
  }

  /**
   * Returns the end of the request.
   *
   * @return empty while it runs, or when the log that has its end is missing
   */
  public Optional<LogLine> end() {
    return last(Set.of(ENDED));
  }

  /**
   * Returns the line that decided how the request ended.
   *
   * @return empty when no line bears its id
   */
  public Optional<LogLine> deciding() {
    String cause = end().map(line -> line.field("cause")).orElse("");
    Optional<LogLine> same =
        own.stream()
            .filter(line -> line.name().equals(ATTEMPT) && line.field("end").equals(cause))
            .reduce((before, after) -> after);
    return same.or(this::lastBackoff).or(() -> last(STEPS)).or(this::end);
  }

  private Optional<LogLine> lastBackoff() {
    return lines.stream()
        .filter(line -> line.name().equals(BACKOFF))
        .reduce((before, after) -> after);
  }

  private Optional<LogLine> last(Set<String> names) {
    return own.stream()
        .filter(line -> names.contains(line.name()))
        .reduce((before, after) -> after);
  }

  /** The engines that a request was placed at, and the time in which they mattered to it. */
  private static final class Engines {

    private final Set<String> endpoints = new HashSet<>();
    private final Set<String> adapters = new HashSet<>();
    private final Set<String> agentLogs = new HashSet<>();
    private final Set<String> entryLogs = new HashSet<>();
    private final long from;
    private final long until;

    Engines(List<LogLine> own, List<LogLine> all) {
      from = own.get(0).millis() - AROUND_MILLIS;
      until = own.get(own.size() - 1).millis() + AROUND_MILLIS;
      for (LogLine line : own) {
        entryLogs.add(line.source());
        if (!line.field(ENDPOINT).isEmpty()) {
          endpoints.add(line.field(ENDPOINT));
        }
        if (!line.field("adapter").isEmpty()) {
          adapters.add(line.field("adapter").replaceFirst("@.*", ""));
        }
      }
      // An agent that sees no engine cannot name it; its log does elsewhere.
      all.stream()
          .filter(line -> line.name().startsWith("ENGINE_"))
          .filter(line -> endpoints.contains(line.field(ENDPOINT)))
          .forEach(line -> agentLogs.add(line.source()));
    }

    boolean concerns(LogLine line) {
      if (!OF_ENGINES.contains(line.name()) || line.millis() < from || line.millis() > until) {
        return false;
      }
      if (line.name().equals(ORDERED) && !adapters.contains(line.field("key"))) {
        return false;
      }
      // What other entries heard of these engines did not decide this request.
      boolean agents = agentLogs.contains(line.source());
      return line.field(ENDPOINT).isEmpty()
          ? agents
          : (agents || entryLogs.contains(line.source()))
              && endpoints.contains(line.field(ENDPOINT));
    }
  }
}
