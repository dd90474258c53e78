package org.hornbeamusher.bench.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.documents.DocumentPeer;
import org.hornbeamusher.documents.DocumentStore;
import org.hornbeamusher.documents.DocumentSync;
import org.hornbeamusher.documents.DocumentUpdate;
import org.hornbeamusher.documents.LatestDocuments;
import org.hornbeamusher.documents.PollPlan;
import org.hornbeamusher.documents.Principal;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.documents.StoredDocument;
import org.hornbeamusher.documents.SubmitResult;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;

/**
 * Operators of both partners change documents through two entries, some of them concurrently from
 * the same version. Entries poll the table, and entries and agents exchange documents; faults are
 * injected into all of these steps.
 */
final class DocumentHistory {

  private static final long FAULTS_END_MILLIS = 40_000;
  private static final long HISTORY_END_MILLIS = 70_000;
  private static final int ENTRIES = 2;
  private static final int PROCESSES = 4;
  private static final int SUBMISSIONS = 14;
  private static final int TRAIL_LIMIT = 100;

  private static final List<Team> TEAMS =
      List.of(new Team("lm-dispatch", "zarqa", "dispatch"), new Team("valuer-llm", "tawhiti", "v"));

  private final Timeline timeline;
  private final FaultInjector injector;
  private final InjectedDefect defect;
  private final TableRows rows;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Accepted> accepted = new ArrayList<>();
  private int drawn;

  DocumentHistory(Timeline timeline, FaultInjector injector, InjectedDefect defect) {
    this.timeline = timeline;
    this.injector = injector;
    this.defect = defect;
    this.rows = new TableRows(defect);
  }

  private record Team(String service, String partner, String team) {

    ServiceName name() {
      return new ServiceName(service);
    }

    Principal principal() {
      return new Principal(new PartnerId(partner), new TeamId(team));
    }

    /** Returns a document text that is unique to one submission, with four adapters. */
    String text(int number) {
      StringBuilder text =
          new StringBuilder(
              String.format(
                  "service = \"%s\"%npartner = \"%s\"%nteam = \"%s\"%npool = \"p\"%n"
                      + "[limits]%nmaximum_tokens = %d%n"
                      + "[model]%nbase_model = \"b\"%nslots = 2%nbatch = 2%n"
                      + "weights = \"{adapter}/{version}\"%n[adapters]%n",
                  service, partner, team, number));
      for (int adapter = 0; adapter < 4; adapter++) {
        int version = 1 + (number + adapter) % 3;
        text.append(
            String.format("a%d = { current = %d, versions = [%d] }%n", adapter, version, version));
      }
      return text.toString();
    }
  }

  private record Accepted(Team team, long version, String text) {}

  void run() {
    FaultyTable.drawOutages(rows, timeline, injector);
    for (int i = 0; i < PROCESSES; i++) {
      nodes.add(new Node(i < ENTRIES));
    }
    for (int i = 0; i < SUBMISSIONS; i++) {
      Team team = injector.pick(TEAMS);
      timeline.after(injector.between(0, FAULTS_END_MILLIS), () -> change(team));
    }
    timeline.every(1_000, this::tick);
    timeline.runUntil(FAULTS_END_MILLIS);
    injector.stopFaults();
    rows.setDown(false);
    timeline.runUntil(HISTORY_END_MILLIS);
    TEAMS.forEach(this::checkTeam);
    accepted.forEach(this::checkAccepted);
  }

  /** Submits a change, sometimes with a concurrent second change from the same version. */
  private void change(Team team) {
    Node node = nodes.get((int) injector.between(0, ENTRIES - 1));
    long base = currentVersion(team);
    submit(node, team, base);
    if (injector.occurs(Fault.OPERATORS_RACED, 0.3)) {
      Node other = nodes.get((int) injector.between(0, ENTRIES - 1));
      timeline.after(injector.between(0, 10), () -> submit(other, team, base));
    }
  }

  private long currentVersion(Team team) {
    return nodes.stream()
        .flatMap(node -> node.holder.latest(team.name()).stream())
        .mapToLong(ServiceDocument::version)
        .max()
        .orElse(0);
  }

  private void submit(Node node, Team team, long base) {
    String text = team.text(++drawn);
    node.process.run(
        () ->
            node.store
                .submit("drawn", text, base, team.principal())
                .thenAccept(
                    result -> {
                      if (result instanceof SubmitResult.Accepted done) {
                        accepted.add(new Accepted(team, done.version(), text));
                      }
                    }));
  }

  private void tick() {
    for (int i = 0; i < nodes.size(); i++) {
      Node node = nodes.get(i);
      if (injector.occurs(Fault.PROCESS_PAUSED, 0.01)) {
        node.process.pause(injector.between(500, 15_000));
      }
      if (injector.occurs(Fault.PROCESS_DIED, 0.01)) {
        node.process.die();
        nodes.set(i, new Node(i < ENTRIES));
      }
    }
    for (Node entry : nodes.subList(0, ENTRIES)) {
      for (Node agent : nodes.subList(ENTRIES, PROCESSES)) {
        heartbeat(entry, agent);
        heartbeat(agent, entry);
      }
    }
  }

  private void heartbeat(Node from, Node to) {
    from.process.run(
        () -> {
          long hash = from.holder.digestHash();
          transfer(to, () -> to.sync.digestHashReceived(to.peer(from), hash));
        });
  }

  private void transfer(Node to, Runnable message) {
    if (injector.occurs(Fault.FRAME_LOST, 0.05)) {
      return;
    }
    boolean delayed = injector.occurs(Fault.FRAME_DELAYED, 0.05);
    long delay = delayed ? injector.between(500, 8_000) : injector.between(1, 20);
    timeline.after(delay, () -> to.process.run(message));
    if (injector.occurs(Fault.FRAME_DUPLICATED, 0.05)) {
      timeline.after(injector.between(1, 5_000), () -> to.process.run(message));
    }
  }

  private void checkTeam(Team team) {
    List<StoredDocument> trail = auditTrail(team);
    long latest = trail.isEmpty() ? 0 : trail.getLast().version();
    for (Node node : nodes) {
      long inForce = node.currentVersions.getOrDefault(team.name(), 0L);
      boolean same =
          latest == 0
              || node.holder
                  .latest(team.name())
                  .filter(held -> held.equals(trail.getLast().document()))
                  .isPresent();
      injector.check(
          Invariant.DOCUMENTS_DIFFER,
          same && inForce == latest,
          team.service() + ": " + inForce + " is current, " + latest + " is the latest");
    }
  }

  private void checkAccepted(Accepted change) {
    boolean found =
        auditTrail(change.team()).stream()
            .filter(stored -> stored.version() == change.version())
            .anyMatch(stored -> stored.text().equals(change.text()));
    injector.check(
        Invariant.CHANGE_LOST, found, "version " + change.version() + " has another text");
  }

  private List<StoredDocument> auditTrail(Team team) {
    List<StoredDocument> trail = new ArrayList<>();
    Node node = new Node(false);
    node.store.history(team.name(), team.principal(), 0, TRAIL_LIMIT).thenAccept(trail::addAll);
    timeline.runUntil(timeline.now() - Timeline.START_MILLIS + 100);
    return trail;
  }

  private final class Node {

    private final SimulatedProcess process = new SimulatedProcess(timeline);
    private final LatestDocuments holder = new LatestDocuments();
    private final Map<ServiceName, Long> currentVersions = new HashMap<>();
    private final Map<Node, DocumentPeer> peers = new HashMap<>();
    private final DocumentStore store =
        new DocumentStore(
            new FaultyTable(rows, timeline, injector, process),
            timeline.clock(),
            () -> "submission-" + ++drawn);
    private final DocumentSync sync =
        new DocumentSync(
            holder, store, timeline.clock(), PollPlan.STANDARD, () -> ENTRIES, injector.random());

    Node(boolean polls) {
      sync.addListener(document -> observe(document.service(), document.version()));
      if (polls && defect != InjectedDefect.DOCUMENTS_NOT_PULLED) {
        pollAfter(PollPlan.STANDARD.firstDelayMillis(ENTRIES, injector.random().nextDouble()));
      }
    }

    private void pollAfter(long delay) {
      timeline.after(
          delay,
          () -> {
            process.run(sync::poll);
            if (process.alive()) {
              pollAfter(PollPlan.STANDARD.delayMillis(ENTRIES, 0, injector.random().nextDouble()));
            }
          });
    }

    private void observe(ServiceName service, long version) {
      long before = currentVersions.getOrDefault(service, 0L);
      injector.check(
          Invariant.DOCUMENT_REVERTED,
          version >= before,
          service + ": " + version + " after " + before);
      currentVersions.put(service, version);
    }

    DocumentPeer peer(Node other) {
      return peers.computeIfAbsent(other, unused -> new Peer(other));
    }

    private final class Peer implements DocumentPeer {

      private final Node other;

      Peer(Node other) {
        this.other = other;
      }

      @Override
      public CompletableFuture<Map<ServiceName, Long>> digest() {
        CompletableFuture<Map<ServiceName, Long>> response = new CompletableFuture<>();
        transfer(
            other,
            () -> {
              Map<ServiceName, Long> digest = other.holder.digest();
              transfer(Node.this, () -> response.complete(digest));
            });
        return response;
      }

      @Override
      public CompletableFuture<DocumentUpdate> pull(ServiceName service, long haveVersion) {
        CompletableFuture<DocumentUpdate> response = new CompletableFuture<>();
        if (defect == InjectedDefect.DOCUMENTS_NOT_PULLED) {
          return response;
        }
        transfer(
            other,
            () -> {
              DocumentUpdate update = other.holder.updateSince(service, haveVersion);
              transfer(Node.this, () -> arrived(update, response));
            });
        return response;
      }

      /** Returns false: simulated messages arrive in one piece. */
      @Override
      public boolean receivingLargeMessage() {
        return false;
      }

      private void arrived(DocumentUpdate update, CompletableFuture<DocumentUpdate> response) {
        if (defect == InjectedDefect.LAST_DOCUMENT_WINS) {
          switch (update) {
            case DocumentUpdate.NoUpdate nothing -> {}
            case DocumentUpdate.FullDocument whole ->
                observe(whole.document().service(), whole.document().version());
            case DocumentUpdate.Deltas differences ->
                differences
                    .deltas()
                    .forEach(delta -> observe(delta.head().service(), delta.head().version()));
          }
        }
        response.complete(update);
      }
    }
  }
}
