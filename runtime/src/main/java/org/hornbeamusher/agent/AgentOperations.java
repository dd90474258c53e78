package org.hornbeamusher.agent;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.hornbeamusher.documents.DocumentStore;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.operator.OperatorHost;
import org.hornbeamusher.process.ProcessServices;
import org.hornbeamusher.routing.EndpointLoad;
import org.hornbeamusher.settings.AgentSettings;
import org.hornbeamusher.status.ProcessStatus;

/** Operator access to an agent: its status and draining. Documents are submitted at entries. */
final class AgentOperations implements OperatorHost {

  private final AgentSettings settings;
  private final ProcessServices services;
  private final Supplier<Optional<EndpointLoad>> load;
  private final BooleanSupplier draining;
  private final Runnable drain;

  AgentOperations(
      AgentSettings settings,
      ProcessServices services,
      Supplier<Optional<EndpointLoad>> load,
      BooleanSupplier draining,
      Runnable drain) {
    this.settings = settings;
    this.services = services;
    this.load = load;
    this.draining = draining;
    this.drain = drain;
  }

  @Override
  public Optional<DocumentStore> documents() {
    return Optional.empty();
  }

  @Override
  public Optional<PartnerId> owner(ServiceName service) {
    return services.documents().latest(service).map(ServiceDocument::partner);
  }

  @Override
  public ProcessStatus status() {
    Optional<EndpointLoad> now = load.get();
    return new ProcessStatus(
        settings.instance(),
        "agent",
        settings.zone(),
        draining.getAsBoolean(),
        now.map(known -> known.running() + known.queued()).orElse(0),
        now.map(known -> List.of(endpoint(known))).orElse(List.of()),
        serviceStatus(),
        List.of());
  }

  private ProcessStatus.EndpointStatus endpoint(EndpointLoad known) {
    return new ProcessStatus.EndpointStatus(
        settings.endpoint(),
        settings.zone(),
        settings.pool(),
        !draining.getAsBoolean(),
        known.running(),
        known.batch(),
        known.queued(),
        known.slots(),
        List.copyOf(known.resident()));
  }

  /** Returns the agent's counts; refusals to callers are counted at the entries. */
  private List<ProcessStatus.ServiceStatus> serviceStatus() {
    return services.documents().all().stream()
        .filter(document -> document.pool().equals(settings.pool()))
        .sorted(Comparator.comparing(ServiceDocument::service))
        .map(
            document ->
                new ProcessStatus.ServiceStatus(
                    document.service(),
                    document.partner(),
                    document.version(),
                    services.metrics().responseCount(document.service()),
                    services.metrics().refusals(document.service())))
        .toList();
  }

  @Override
  public void drain() {
    drain.run();
  }
}
