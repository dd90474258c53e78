package org.hornbeamusher.entry;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.hornbeamusher.documents.DocumentStore;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.operator.OperatorHost;
import org.hornbeamusher.process.ProcessServices;
import org.hornbeamusher.settings.EntrySettings;
import org.hornbeamusher.status.ProcessStatus;

/** Provides the status and the operations of an entry to operators. */
final class EntryOperations implements OperatorHost {

  private final EntrySettings settings;
  private final ProcessServices services;
  private final AgentLinks links;
  private final QuarantineRefusals quarantineRefusals;
  private final IntSupplier inFlight;
  private final BooleanSupplier leaving;
  private final Runnable drain;

  EntryOperations(
      EntrySettings settings,
      ProcessServices services,
      AgentLinks links,
      QuarantineRefusals quarantineRefusals,
      IntSupplier inFlight,
      BooleanSupplier leaving,
      Runnable drain) {
    this.settings = settings;
    this.services = services;
    this.links = links;
    this.quarantineRefusals = quarantineRefusals;
    this.inFlight = inFlight;
    this.leaving = leaving;
    this.drain = drain;
  }

  @Override
  public Optional<DocumentStore> documents() {
    return Optional.of(services.store());
  }

  @Override
  public Optional<PartnerId> owner(ServiceName service) {
    return services.documents().latest(service).map(ServiceDocument::partner);
  }

  @Override
  public ProcessStatus status() {
    return new ProcessStatus(
        settings.instance(),
        "entry",
        settings.zone(),
        leaving.getAsBoolean(),
        inFlight.getAsInt(),
        links.status(),
        serviceStatus(),
        quarantineRefusals.status(services.clock().millis()));
  }

  private List<ProcessStatus.ServiceStatus> serviceStatus() {
    return services.documents().all().stream()
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
