package org.hornbeamusher.explain;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Explains how one request ended, from the logs of several processes.
 *
 * <p>The request's own lines are those with its id. Related lines are added: back-offs that led to
 * its refusal, and events of the engines that it was placed at, from shortly before its first line
 * to shortly after its last one. These are orders for its adapter, and the engine's starts and
 * times of being unreachable. The deciding line is the first of these that exists:
 *
 * <ul>
 *   <li>the last attempt that ended with the request's cause;
 *   <li>when every endpoint was backing off, the last back-off that began before the end;
 *   <li>the last placement, move or attempt;
 *   <li>the end itself, as for a request that no route matched.
 * </ul>
 *
 * <p>Lines are ordered by time. The clocks of instances differ by milliseconds, so lines of
 * different files that are only milliseconds apart may be in the wrong order.
 */
public final class Explanation {

  private static final String ATTEMPT_ENDED = "ATTEMPT_ENDED";
  private static final String REQUEST_ENDED = "REQUEST_ENDED";
  private static final Set<String> ROUTING_EVENTS =
      Set.of("ACCOUNT_REFUSED", "SHARE_EXCEEDED", "REQUEST_PLACED", "REQUEST_MOVED", ATTEMPT_ENDED);
  private static final String ENGINE_ORDERED = "ENGINE_ORDERED";
  private static final Set<String> ENGINE_EVENTS =
      Set.of("ENGINE_SEEN", "ENGINE_UNREACHABLE", "ENDPOINT_GONE", ENGINE_ORDERED);
  private static final String ENDPOINT = "endpoint";
  private static final String ENDPOINT_BACKOFF = "ENDPOINT_BACKOFF";
  private static final String BACKOFF_CAUSE = "endpoint-backoff";

  /**
   * Margin before the first and after the last line of the request: an event of an engine shortly
   * before or after the request's end may also explain it.
   */
  private static final long MARGIN_MILLIS = 1_000;

  private final List<LogLine> ownLines;
  private final List<LogLine> lines;

  private Explanation(List<LogLine> ownLines, List<LogLine> lines) {
    this.ownLines = ownLines;
    this.lines = lines;
  }

  /**
   * Explains a request.
   *
   * @param id the request's id
   * @param all the lines of all logs, in any order
   * @return the explanation; without lines when no line has the id
   */
  public static Explanation of(String id, List<LogLine> all) {
    List<LogLine> ownLines =
        sortedByTime(all.stream().filter(line -> line.field("id").equals(id)).toList());
    if (ownLines.isEmpty()) {
      return new Explanation(ownLines, ownLines);
    }
    InvolvedEngines engines = new InvolvedEngines(ownLines, all);
    List<LogLine> lines =
        sortedByTime(
            all.stream()
                .filter(
                    line ->
                        ownLines.contains(line)
                            || engines.isRelated(line)
                            || isRefusalCause(ownLines, line))
                .toList());
    return new Explanation(ownLines, lines);
  }

  /**
   * Returns whether a line is a back-off of an endpoint that was active, at the same entry, when
   * the request was refused because of endpoint back-offs.
   */
  private static boolean isRefusalCause(List<LogLine> own, LogLine line) {
    return line.name().equals(ENDPOINT_BACKOFF)
        && own.stream()
            .filter(one -> one.field("cause").equals(BACKOFF_CAUSE))
            .filter(one -> one.source().equals(line.source()))
            .anyMatch(
                end -> line.millis() <= end.millis() && end.millis() <= backoffEndMillis(line));
  }

  private static long backoffEndMillis(LogLine backoff) {
    return backoff.millis() + Long.parseLong(backoff.field("for_ms"));
  }

  private static List<LogLine> sortedByTime(List<LogLine> lines) {
    return lines.stream().sorted(Comparator.comparingLong(LogLine::millis)).toList();
  }

  /**
   * Returns the request's own and the related lines.
   *
   * @return the lines, ordered by time
   */
  public List<LogLine> lines() {
    return lines;
  }

  /**
   * Returns the line of the request's end.
   *
   * @return the line; empty while the request runs, or when the log that contains its end is
   *     missing
   */
  public Optional<LogLine> end() {
    return last(Set.of(REQUEST_ENDED));
  }

  /**
   * Returns the line that decided how the request ended.
   *
   * @return the line; empty when no line has the request's id
   */
  public Optional<LogLine> deciding() {
    String cause = end().map(line -> line.field("cause")).orElse("");
    Optional<LogLine> same =
        ownLines.stream()
            .filter(line -> line.name().equals(ATTEMPT_ENDED) && line.field("end").equals(cause))
            .reduce((before, after) -> after);
    return same.or(this::lastBackoff).or(() -> last(ROUTING_EVENTS)).or(this::end);
  }

  private Optional<LogLine> lastBackoff() {
    return lines.stream()
        .filter(line -> line.name().equals(ENDPOINT_BACKOFF))
        .reduce((before, after) -> after);
  }

  private Optional<LogLine> last(Set<String> names) {
    return ownLines.stream()
        .filter(line -> names.contains(line.name()))
        .reduce((before, after) -> after);
  }

  /**
   * The engines that a request was placed at, and the time window in which their events are related
   * to it.
   */
  private static final class InvolvedEngines {

    private final Set<String> endpoints = new HashSet<>();
    private final Set<String> adapters = new HashSet<>();
    private final Set<String> agentLogs = new HashSet<>();
    private final Set<String> entryLogs = new HashSet<>();
    private final long from;
    private final long until;

    InvolvedEngines(List<LogLine> own, List<LogLine> all) {
      from = own.get(0).millis() - MARGIN_MILLIS;
      until = own.get(own.size() - 1).millis() + MARGIN_MILLIS;
      for (LogLine line : own) {
        entryLogs.add(line.source());
        if (!line.field(ENDPOINT).isEmpty()) {
          endpoints.add(line.field(ENDPOINT));
        }
        if (!line.field("adapter").isEmpty()) {
          adapters.add(line.field("adapter").replaceFirst("@.*", ""));
        }
      }
      // An agent that cannot reach its engine does not log the endpoint. Other lines of the same
      // log name it and identify the agent's log.
      all.stream()
          .filter(line -> line.name().startsWith("ENGINE_"))
          .filter(line -> endpoints.contains(line.field(ENDPOINT)))
          .forEach(line -> agentLogs.add(line.source()));
    }

    boolean isRelated(LogLine line) {
      if (!ENGINE_EVENTS.contains(line.name()) || line.millis() < from || line.millis() > until) {
        return false;
      }
      if (line.name().equals(ENGINE_ORDERED) && !adapters.contains(line.field("key"))) {
        return false;
      }
      // Events that other entries logged about these engines did not influence this request.
      boolean agents = agentLogs.contains(line.source());
      return line.field(ENDPOINT).isEmpty()
          ? agents
          : (agents || entryLogs.contains(line.source()))
              && endpoints.contains(line.field(ENDPOINT));
    }
  }
}
