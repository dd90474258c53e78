package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.directory.SoftwareHistory;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.ids.SoftwareVersion;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.wire.Message;

/**
 * Finds the software version that began a stream, for a caller that takes the stream up at any
 * entry.
 *
 * <p><b>Problem.</b> Endpoints of several software versions serve one service, and a stream may go
 * on only at the version that began it. A caller that takes a stream up names the try that brought
 * the first event, but neither the endpoint nor the version, and may have reached another entry.
 *
 * <p><b>Algorithm.</b> The first of these that knows decides:
 *
 * <ol>
 *   <li>this entry, if it served that try;
 *   <li>two agents, chosen by rendezvous hashing of the try's id, to which the entry that served it
 *       reported the version with the first event;
 *   <li>the list, if every endpoint of the service had the same version for longer than any stream
 *       lasts, including the pauses between the tries of its caller;
 *   <li>the table of versions, which contains those that have served lately, if it is a single one;
 *   <li>the table of streams, to which the entries write the versions of their streams at intervals
 *       while several versions serve. The tables are needed when the processes that knew the stream
 *       have ended.
 * </ol>
 *
 * <p>The list and the table of versions decide only with a list that was requested after the caller
 * came back. An entry that was cut off or stood still has an older one, and the stream may have
 * begun at a version that has joined since then. The list is then requested at once, for all
 * callers that wait for it.
 *
 * <p>If none of them knows, the request is refused, because a stream of two versions is useless to
 * its caller.
 *
 * <p>Rejected: a row for each stream, more writes than the table takes; choosing the version of
 * each stream by its id, because versions come and go during a release.
 */
final class StreamOrigins {

  private static final int AGENTS_PER_STREAM = 2;

  /** A round trip to an agent takes a few milliseconds. */
  private static final long AGENT_TIMEOUT_MILLIS = 150;

  private static final int MAX_STREAMS = 20_000;

  /** Spreads the reads of the table by all entries when a version comes or goes. */
  private static final int MAX_WRITE_DELAY_MILLIS = 1_000;

  private static final long WRITE_RETRY_MILLIS = 2_000;

  /** How long a caller waits for a list; a read takes some tens of milliseconds. */
  private static final long LIST_TIMEOUT_MILLIS = 400;

  /** Shortest time between two requests for the list. */
  private static final long LIST_REFRESH_INTERVAL_MILLIS = 100;

  /** Many streams are taken up at once when an entry has ended; they share a read of the table. */
  private static final long STREAMS_READ_MILLIS = 300;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final AgentConnections agents;
  private final SoftwareHistory history;
  private final Supplier<List<Endpoint>> endpoints;
  private final SoftwareVersionTable table;
  private final StreamOriginTable streamTable;
  private final StreamOriginRecorder recorder;
  private final ForwardMetrics metrics;
  private final EventLoop loop;
  private final Clock clock;

  /** The origins of streams that this entry served, by the id of the try, the oldest first. */
  private final Map<String, StreamOrigin> own =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, StreamOrigin> eldest) {
          return size() > MAX_STREAMS;
        }
      };

  /** The last read of the table of streams. */
  private CompletableFuture<Map<String, SoftwareVersion>> streamsRead =
      CompletableFuture.completedFuture(Map.of());

  private long streamsReadMillis = NEVER;

  /** The callers that wait for a list, in the order of their arrival. */
  private final Deque<ListWaiter> listWaiters = new ArrayDeque<>();

  private Runnable listRefresh = () -> {};
  private long listRefreshMillis = NEVER;

  private final Map<Long, Lookup> lookups = new HashMap<>();
  private long lastLookup;

  /** The versions of each service when its endpoints last changed. */
  private final Map<String, Set<String>> noticed = new HashMap<>();

  private int failedWrites;

  /** The versions of each service that this entry has last written or found in the table. */
  private final Map<String, Set<String>> written = new HashMap<>();

  StreamOrigins(
      AgentConnections agents,
      SoftwareHistory history,
      Supplier<List<Endpoint>> endpoints,
      SoftwareVersionTable table,
      StreamOriginTable streamTable,
      ForwardMetrics metrics,
      EventLoop loop,
      Clock clock) {
    this.agents = agents;
    this.history = history;
    this.endpoints = endpoints;
    this.table = table;
    this.streamTable = streamTable;
    this.metrics = metrics;
    this.loop = loop;
    this.clock = clock;
    this.recorder =
        new StreamOriginRecorder(
            streamTable, this::hasSeveralVersions, this::software, agents::entries, loop, clock);
  }

  void start() {
    recorder.start();
  }

  /**
   * Sets how to request a list ahead of schedule.
   *
   * @param refresh requests a list at once
   */
  void setListRefresh(Runnable refresh) {
    listRefresh = refresh;
  }

  /** Records that a try has brought an event of a stream that can be resumed. */
  void begun(String requestId, String service, StreamOrigin origin) {
    own.put(requestId, origin);
    recorder.begun(requestId, service, origin);
    Message report =
        new Message.StreamBegun(
            requestId,
            origin.endpoint().map(one -> one.id().value()).orElse(""),
            software(origin).map(SoftwareVersion::value).orElse(""),
            software(origin).isPresent(),
            origin.endpoint().map(EndpointIncarnation::startMillis).orElse(0L));
    for (InetSocketAddress agent : agents.choose(requestId, AGENTS_PER_STREAM)) {
      agents.send(agent, report);
    }
  }

  /** Records that the caller of a try has received its stream completely. */
  void completed(String requestId) {
    recorder.completed(requestId);
  }

  private boolean hasSeveralVersions(String service) {
    return history
            .versions(service, endpoints.get(), SoftwareHistory.RETENTION_MILLIS, clock.millis())
            .size()
        > 1;
  }

  /**
   * Returns whether a stream may continue at an endpoint: at the version that began it or, where a
   * version is not known, at the incarnation that began it.
   */
  boolean mayContinue(StreamOrigin origin, Endpoint endpoint) {
    Optional<SoftwareVersion> began = software(origin);
    return began.isPresent() && endpoint.software().isPresent()
        ? began.equals(endpoint.software())
        : origin.endpoint().filter(endpoint.incarnation()::equals).isPresent();
  }

  private Optional<SoftwareVersion> software(StreamOrigin origin) {
    return origin.software().or(() -> origin.endpoint().flatMap(history::versionOf));
  }

  /**
   * Finds where a stream began.
   *
   * @param request the request that resumes it
   * @param service its service
   * @param found called with the origin, now or later; empty if it is not known
   */
  void find(RequestMetadata request, String service, Consumer<Optional<StreamOrigin>> found) {
    long startMillis = clock.millis();
    StreamOrigin known = request.resumes().map(own::get).orElse(null);
    if (known != null) {
      found.accept(finish(request, "own", Optional.of(known), startMillis));
      return;
    }
    Consumer<Optional<StreamOrigin>> fromTable =
        origin -> found.accept(finish(request, "table", origin, startMillis));
    requestFromAgents(
        request.resumes(),
        fromAgents -> {
          if (fromAgents.isPresent()) {
            found.accept(finish(request, "agent", fromAgents, startMillis));
          } else {
            awaitList(
                startMillis,
                received -> {
                  Optional<StreamOrigin> listed = received ? fromList(service) : Optional.empty();
                  if (listed.isPresent()) {
                    found.accept(finish(request, "list", listed, startMillis));
                  } else if (received) {
                    requestFromTable(service, request.resumes(), fromTable);
                  } else {
                    requestFromStreamTable(request.resumes(), fromTable);
                  }
                });
          }
        });
  }

  /** Returns the only version of the service in the time that a stream may last. */
  private Optional<StreamOrigin> fromList(String service) {
    long now = clock.millis();
    Set<String> served =
        history.versions(service, endpoints.get(), SoftwareHistory.RETENTION_MILLIS, now);
    return served.size() == 1 && history.covers(SoftwareHistory.RETENTION_MILLIS, now)
        ? Optional.of(origin(served))
        : Optional.empty();
  }

  /** Waits for a list that was requested at a time or later; calls back with whether it came. */
  private void awaitList(long sinceMillis, Consumer<Boolean> received) {
    if (history.isListedSince(sinceMillis)) {
      received.accept(true);
      return;
    }
    ListWaiter waiter = new ListWaiter(sinceMillis, received);
    listWaiters.add(waiter);
    refreshList();
    loop.after(
        LIST_TIMEOUT_MILLIS,
        () -> {
          if (listWaiters.remove(waiter)) {
            received.accept(false);
          }
        });
  }

  private void refreshList() {
    long now = clock.millis();
    if (now - listRefreshMillis >= LIST_REFRESH_INTERVAL_MILLIS) {
      listRefreshMillis = now;
      listRefresh.run();
    }
  }

  /**
   * Decides for the callers that waited for a list.
   *
   * @param askedMillis when the list was requested
   */
  void listReceived(long askedMillis) {
    while (!listWaiters.isEmpty() && listWaiters.peek().sinceMillis() <= askedMillis) {
      listWaiters.poll().received().accept(true);
    }
    if (!listWaiters.isEmpty()) {
      loop.after(LIST_REFRESH_INTERVAL_MILLIS, this::refreshListIfAwaited);
    }
  }

  private void refreshListIfAwaited() {
    if (!listWaiters.isEmpty()) {
      refreshList();
    }
  }

  private static StreamOrigin origin(Set<String> single) {
    return new StreamOrigin(
        Optional.empty(), Optional.of(new SoftwareVersion(single.iterator().next())));
  }

  private Optional<StreamOrigin> finish(
      RequestMetadata request, String source, Optional<StreamOrigin> origin, long startMillis) {
    metrics.streamResumed(origin.isPresent());
    EventLog.log(
        EventType.STREAM_RESUMED,
        "id",
        request.id(),
        "resumes",
        request.resumes().orElse(""),
        "source",
        origin.isPresent() ? source : "unknown",
        "endpoint",
        origin.flatMap(StreamOrigin::endpoint).map(one -> one.id().value()).orElse(""),
        "software",
        origin.flatMap(this::software).map(SoftwareVersion::value).orElse("unknown"),
        "took_ms",
        clock.millis() - startMillis);
    return origin;
  }

  private void requestFromAgents(Optional<String> resumes, Consumer<Optional<StreamOrigin>> found) {
    List<InetSocketAddress> chosen =
        resumes.map(id -> agents.choose(id, AGENTS_PER_STREAM)).orElse(List.of());
    if (chosen.isEmpty()) {
      found.accept(Optional.empty());
      return;
    }
    long number = ++lastLookup;
    lookups.put(number, new Lookup(found, chosen.size()));
    chosen.forEach(
        agent -> agents.send(agent, new Message.StreamOriginRequest(number, resumes.get())));
    loop.after(AGENT_TIMEOUT_MILLIS, () -> complete(number, Optional.empty()));
  }

  /** Handles the response of an agent. */
  void received(Message.StreamOriginResponse response) {
    Lookup lookup = lookups.get(response.requestNumber());
    if (lookup == null) {
      return;
    }
    lookup.pending--;
    if (!response.endpoint().isEmpty() || response.softwareKnown()) {
      Optional<SoftwareVersion> software =
          response.softwareKnown()
              ? Optional.of(new SoftwareVersion(response.software()))
              : Optional.empty();
      Optional<EndpointIncarnation> endpoint =
          response.endpoint().isEmpty()
              ? Optional.empty()
              : Optional.of(
                  new EndpointIncarnation(
                      new EndpointId(response.endpoint()), response.startMillis()));
      complete(response.requestNumber(), Optional.of(new StreamOrigin(endpoint, software)));
    } else if (lookup.pending == 0) {
      complete(response.requestNumber(), Optional.empty());
    }
  }

  private void complete(long number, Optional<StreamOrigin> origin) {
    Lookup lookup = lookups.remove(number);
    if (lookup != null) {
      lookup.found.accept(origin);
    }
  }

  private void requestFromTable(
      String service, Optional<String> resumes, Consumer<Optional<StreamOrigin>> found) {
    table
        .read(service)
        .handle((versions, thrown) -> thrown == null ? versions : Optional.<Set<String>>empty())
        .thenAccept(
            versions ->
                loop.execute(
                    () -> {
                      Optional<StreamOrigin> single = singleVersion(service, versions);
                      if (single.isPresent()) {
                        found.accept(single);
                      } else {
                        requestFromStreamTable(resumes, found);
                      }
                    }));
  }

  private void requestFromStreamTable(
      Optional<String> resumes, Consumer<Optional<StreamOrigin>> found) {
    if (resumes.isEmpty()) {
      found.accept(Optional.empty());
      return;
    }
    long now = clock.millis();
    if (streamsRead.isDone() && now - streamsReadMillis >= STREAMS_READ_MILLIS) {
      streamsReadMillis = now;
      streamsRead = streamTable.read().exceptionally(thrown -> Map.of());
    }
    streamsRead.thenAccept(
        streams ->
            loop.execute(
                () ->
                    found.accept(
                        Optional.ofNullable(streams.get(resumes.get()))
                            .map(
                                version ->
                                    new StreamOrigin(Optional.empty(), Optional.of(version))))));
  }

  private Optional<StreamOrigin> singleVersion(String service, Optional<Set<String>> stored) {
    Set<String> served =
        history.versions(
            service, endpoints.get(), SoftwareHistory.RETENTION_MILLIS, clock.millis());
    boolean single = served.size() == 1 && stored.filter(served::equals).isPresent();
    return single ? Optional.of(origin(served)) : Optional.empty();
  }

  /** Writes the tables again, which were restored from a copy. */
  void tablesRestored() {
    written.clear();
    noticed.keySet().forEach(this::writeLater);
    recorder.tableRestored();
  }

  /** Called when endpoints of a service have changed; writes the versions that serve. */
  void endpointsChanged(String service) {
    Set<String> served =
        history.versions(
            service, endpoints.get(), SoftwareHistory.RETENTION_MILLIS, clock.millis());
    if (!served.equals(noticed.put(service, served))) {
      recorder.versionsChanged(service);
      writeLater(service);
    }
  }

  /** Avoids that all entries write at the same time. */
  private void writeLater(String service) {
    loop.after(ThreadLocalRandom.current().nextInt(MAX_WRITE_DELAY_MILLIS), () -> write(service));
  }

  private void write(String service) {
    long now = clock.millis();
    List<Endpoint> current = endpoints.get();
    Set<String> served = history.versions(service, current, SoftwareHistory.RETENTION_MILLIS, now);
    if (served.isEmpty() || served.equals(written.get(service))) {
      return;
    }
    boolean complete =
        history.covers(SoftwareHistory.RETENTION_MILLIS, now) && history.allKnown(service, current);
    table
        .update(service, served, complete)
        .whenComplete(
            (done, thrown) -> loop.execute(() -> written(service, served, complete, thrown)));
  }

  private void written(String service, Set<String> served, boolean complete, Throwable thrown) {
    if (thrown == null) {
      failedWrites = 0;
      written.put(service, served);
    } else if (Integer.bitCount(++failedWrites) == 1) {
      // Logs only at powers of two, so that a long outage does not flood the log.
      EventLog.log(
          EventType.SOFTWARE_VERSIONS_UNWRITTEN,
          "service",
          service,
          "versions",
          String.join(",", served),
          "failures",
          failedWrites,
          "reason",
          HornbeamusherException.from(thrown).type().label());
    }
    if (thrown != null) {
      loop.after(WRITE_RETRY_MILLIS, () -> write(service));
    } else if (served.size() > 1 || !complete) {
      // A version that has gone, or that another entry wrote, is removed when it is long enough
      // ago.
      loop.after(
          SoftwareHistory.RETENTION_MILLIS + MAX_WRITE_DELAY_MILLIS,
          () -> {
            written.remove(service);
            write(service);
          });
    }
  }

  /**
   * A caller that waits for a list.
   *
   * @param sinceMillis when the list must have been requested at the earliest
   * @param received called with whether such a list was received
   */
  private record ListWaiter(long sinceMillis, Consumer<Boolean> received) {}

  /** A request to agents. */
  private static final class Lookup {

    private final Consumer<Optional<StreamOrigin>> found;
    private int pending;

    Lookup(Consumer<Optional<StreamOrigin>> found, int pending) {
      this.found = found;
      this.pending = pending;
    }
  }
}
