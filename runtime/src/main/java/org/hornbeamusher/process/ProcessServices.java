package org.hornbeamusher.process;

import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.documents.DocumentStore;
import org.hornbeamusher.documents.DocumentSync;
import org.hornbeamusher.documents.LatestDocuments;
import org.hornbeamusher.documents.PollPlan;
import org.hornbeamusher.exchange.DocumentExchange;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.metrics.ProcessMetrics;
import org.hornbeamusher.metrics.ServiceMetrics;
import org.hornbeamusher.table.HttpInstanceList;
import org.hornbeamusher.table.HttpTable;
import org.hornbeamusher.table.Instance;
import org.hornbeamusher.table.InstanceList;
import org.hornbeamusher.table.Table;

/** Services that entries and agents have in common, started and stopped with their process. */
public final class ProcessServices {

  private static final int IO_THREADS = 2;

  /**
   * The table responds within milliseconds; a call that takes longer than this is treated as lost.
   */
  private static final long PLATFORM_TIMEOUT_MILLIS = 2_000;

  private final Clock clock;
  private final HttpClient http = new HttpClient(IO_THREADS);
  private final Table table;
  private final InstanceList instances;
  private final LatestDocuments documents = new LatestDocuments();
  private final DocumentStore store;
  private final DocumentSync sync;
  private final DocumentExchange exchange;
  private final ServiceMetrics metrics = new ServiceMetrics(new MetricRegistry());
  private final ProcessMetrics processMetrics = new ProcessMetrics(metrics.registry());

  /**
   * Creates services that are not started.
   *
   * @param platform the platform's address
   * @param pollers the number of processes that poll the table for documents; 0 when this one does
   *     not
   * @param clock the clock
   */
  public ProcessServices(URI platform, IntSupplier pollers, Clock clock) {
    this.clock = clock;
    this.table =
        new MeteredTable(new HttpTable(http, platform, PLATFORM_TIMEOUT_MILLIS), processMetrics);
    this.instances = new HttpInstanceList(http, platform, PLATFORM_TIMEOUT_MILLIS);
    this.store = new DocumentStore(table, clock, () -> UUID.randomUUID().toString());
    this.sync =
        new DocumentSync(
            documents, store, clock, PollPlan.STANDARD, pollers, RandomGenerator.getDefault());
    this.exchange = new DocumentExchange(documents, sync);
    sync.addListener(document -> exchange.announce());
  }

  /** Starts the HTTP client and the polling. */
  public void start() {
    http.start();
    sync.start();
  }

  /** Stops the polling and the HTTP client. */
  public void stop() {
    sync.stop();
    http.stop();
  }

  /**
   * Returns the metrics of the process as a whole.
   *
   * @return the metrics, which are in the registry of {@link #metrics}
   */
  public ProcessMetrics processMetrics() {
    return processMetrics;
  }

  /**
   * Returns the clock.
   *
   * @return the clock
   */
  public Clock clock() {
    return clock;
  }

  /**
   * Returns the HTTP client.
   *
   * @return the client that makes every call of the process
   */
  public HttpClient http() {
    return http;
  }

  /**
   * Returns the client of the table service.
   *
   * @return the table
   */
  public Table table() {
    return table;
  }

  /**
   * Reads the instance list.
   *
   * @return the result of {@link InstanceList#instances}
   */
  public CompletableFuture<List<Instance>> instances() {
    return instances.instances();
  }

  /**
   * Returns the current documents.
   *
   * @return the documents that this process has
   */
  public LatestDocuments documents() {
    return documents;
  }

  /**
   * Returns the store of the documents' rows.
   *
   * @return the store
   */
  public DocumentStore store() {
    return store;
  }

  /**
   * Returns the service that keeps the documents up to date.
   *
   * @return the service
   */
  public DocumentSync sync() {
    return sync;
  }

  /**
   * Returns the exchange of documents between processes.
   *
   * @return the exchange
   */
  public DocumentExchange exchange() {
    return exchange;
  }

  /**
   * Returns the metrics of the services.
   *
   * @return the metrics of this process
   */
  public ServiceMetrics metrics() {
    return metrics;
  }
}
