package org.hornbeamusher.status;

import java.util.Map;
import java.util.stream.Collectors;

/** Formats a status as text that fits on one screen. */
public final class StatusText {

  private static final int MAX_SHOWN_ADAPTERS = 8;

  private StatusText() {}

  /**
   * Formats a status as plain text.
   *
   * @param status the status
   * @return lines of at most about 120 characters
   */
  public static String of(ProcessStatus status) {
    StringBuilder text = new StringBuilder();
    text.append(
        "%s %s in %s%s, %d requests in flight%n%n"
            .formatted(
                status.role(),
                status.instance(),
                status.zone(),
                status.leaving() ? ", LEAVING" : "",
                status.inFlight()));
    text.append(
        "%-20s %-12s %-12s %9s %6s  %s%n"
            .formatted("endpoint", "zone", "state", "batch", "queue", "resident"));
    status.endpoints().forEach(endpoint -> text.append(line(endpoint)));
    text.append(
        "%n%-20s %8s %10s  %s%n".formatted("service", "version", "answered", "refused by type"));
    status.services().forEach(service -> text.append(line(service)));
    text.append("%nquarantined: %d%n".formatted(status.quarantined().size()));
    for (ProcessStatus.QuarantinedRequest entry : status.quarantined()) {
      text.append("  %s %s%n".formatted(entry.service(), entry.fingerprint()));
    }
    return text.toString();
  }

  /**
   * Formats a status as a read-only page without scripts.
   *
   * @param status the status
   * @return HTML
   */
  public static String page(ProcessStatus status) {
    return "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
        + "<meta http-equiv=\"refresh\" content=\"5\"><title>"
        + escaped(status.instance().value())
        + "</title></head><body><pre>"
        + escaped(of(status))
        + "</pre></body></html>";
  }

  private static String line(ProcessStatus.EndpointStatus endpoint) {
    String resident =
        endpoint.resident().stream()
            .sorted()
            .limit(MAX_SHOWN_ADAPTERS)
            .map(ref -> ref.adapter() + "@" + ref.version())
            .collect(Collectors.joining(" "));
    int more = endpoint.resident().size() - MAX_SHOWN_ADAPTERS;
    return "%-20s %-12s %-12s %4d/%-4d %6d  %s%s%n"
        .formatted(
            endpoint.id(),
            endpoint.zone(),
            endpoint.reachable() ? "reachable" : "UNREACHABLE",
            endpoint.running(),
            endpoint.batchCapacity(),
            endpoint.queued(),
            resident,
            more > 0 ? " +" + more : "");
  }

  private static String line(ProcessStatus.ServiceStatus service) {
    String refused =
        service.refused().entrySet().stream()
            .sorted(Map.Entry.comparingByKey())
            .map(entry -> entry.getKey().label() + " " + entry.getValue())
            .collect(Collectors.joining(", "));
    return "%-20s %8d %10d  %s%n"
        .formatted(service.name(), service.version(), service.answered(), refused);
  }

  private static String escaped(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
