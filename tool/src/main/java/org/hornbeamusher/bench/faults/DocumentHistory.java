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
 * Operators of both partners change documents through two entries, some from the same version;
 * entries poll the table, entries and agents tell each other, and all of that fails.
 */
final class DocumentHistory {

  private static final long FAULTS_END = 40_000;
  private static final long QUIET_END = 70_000;
  private static final int ENTRIES = 2;
  private static final int PROCESSES = 4;
  private static final int SUBMISSIONS = 14;
  private static final int TRAIL_LIMIT = 100;

  private static final List<Team> TEAMS =
      List.of(new Team("lm-dispatch", "zarqa", "dispatch"), new Team("valuer-llm", "tawhiti", "v"));

  private final Timeline timeline;
  private final Chaos chaos;
  private final Breakage breakage;
  private final TableRows rows;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Accepted> accepted = new ArrayList<>();
  private int drawn;

  DocumentHistory(Timeline timeline, Chaos chaos, Breakage breakage) {
    this.timeline = timeline;
    this.chaos = chaos;
    this.breakage = breakage;
    this.rows = new TableRows(breakage);
  }

  private record Team(String service, String partner, String team) {

    ServiceName name() {
      return new ServiceName(service);
    }

    Principal principal() {
      return new Principal(new PartnerId(partner), new TeamId(team));
    }

    /** A text that no other submission has, with a few adapters of which some differ. */
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
    FaultyTable.drawOutages(rows, timeline, chaos);
    for (int i = 0; i < PROCESSES; i++) {
      nodes.add(new Node(i < ENTRIES));
    }
    for (int i = 0; i < SUBMISSIONS; i++) {
      Team team = chaos.one(TEAMS);
      timeline.after(chaos.between(0, FAULTS_END), () -> change(team));
    }
    timeline.every(1_000, this::beat);
    timeline.runUntil(FAULTS_END);
    chaos.quieten();
    rows.down(false);
    timeline.runUntil(QUIET_END);
    TEAMS.forEach(this::judgeTeam);
    accepted.forEach(this::judgeAccepted);
  }

  /** One operator changes a document, or two do from the same version. */
  private void change(Team team) {
    Node node = nodes.get((int) chaos.between(0, ENTRIES - 1));
    long base = currentVersion(team);
    submit(node, team, base);
    if (chaos.strikes(Fault.OPERATORS_RACED, 0.3)) {
      Node other = nodes.get((int) chaos.between(0, ENTRIES - 1));
      timeline.after(chaos.between(0, 10), () -> submit(other, team, base));
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

  private void beat() {
    for (int i = 0; i < nodes.size(); i++) {
      Node node = nodes.get(i);
      if (chaos.strikes(Fault.PROCESS_PAUSED, 0.01)) {
        node.process.pause(chaos.between(500, 15_000));
      }
      if (chaos.strikes(Fault.PROCESS_DIED, 0.01)) {
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
    if (chaos.strikes(Fault.FRAME_LOST, 0.05)) {
      return;
    }
    boolean delayed = chaos.strikes(Fault.FRAME_DELAYED, 0.05);
    long delay = delayed ? chaos.between(500, 8_000) : chaos.between(1, 20);
    timeline.after(delay, () -> to.process.run(message));
    if (chaos.strikes(Fault.FRAME_DUPLICATED, 0.05)) {
      timeline.after(chaos.between(1, 5_000), () -> to.process.run(message));
    }
  }

  private void judgeTeam(Team team) {
    List<StoredDocument> trail = trail(team);
    long latest = trail.isEmpty() ? 0 : trail.getLast().version();
    for (Node node : nodes) {
      long inForce = node.inForce.getOrDefault(team.name(), 0L);
      boolean same =
          latest == 0
              || node.holder
                  .latest(team.name())
                  .filter(held -> held.equals(trail.getLast().document()))
                  .isPresent();
      chaos.check(
          Check.DOCUMENTS_DIFFER,
          same && inForce == latest,
          team.service() + ": " + inForce + " is in force, " + latest + " is the latest");
    }
  }

  private void judgeAccepted(Accepted change) {
    boolean found =
        trail(change.team()).stream()
            .filter(stored -> stored.version() == change.version())
            .anyMatch(stored -> stored.text().equals(change.text()));
    chaos.check(Check.CHANGE_LOST, found, "version " + change.version() + " has another text");
  }

  private List<StoredDocument> trail(Team team) {
    List<StoredDocument> trail = new ArrayList<>();
    Node node = new Node(false);
    node.store.history(team.name(), team.principal(), 0, TRAIL_LIMIT).thenAccept(trail::addAll);
    timeline.runUntil(timeline.now() - Timeline.START_MILLIS + 100);
    return trail;
  }

  private final class Node {

    private final Process process = new Process(timeline);
    private final LatestDocuments holder = new LatestDocuments();
    private final Map<ServiceName, Long> inForce = new HashMap<>();
    private final Map<Node, DocumentPeer> peers = new HashMap<>();
    private final DocumentStore store =
        new DocumentStore(
            new FaultyTable(rows, timeline, chaos, process),
            timeline.clock(),
            () -> "submission-" + ++drawn);
    private final DocumentSync sync =
        new DocumentSync(
            holder, store, timeline.clock(), PollPlan.STANDARD, () -> ENTRIES, chaos.random());

    Node(boolean polls) {
      sync.addListener(document -> observe(document.service(), document.version()));
      if (polls && breakage != Breakage.DOCUMENTS_NOT_PULLED) {
        pollAfter(PollPlan.STANDARD.firstDelayMillis(ENTRIES, chaos.random().nextDouble()));
      }
    }

    private void pollAfter(long delay) {
      timeline.after(
          delay,
          () -> {
            process.run(sync::poll);
            if (process.alive()) {
              pollAfter(PollPlan.STANDARD.delayMillis(ENTRIES, 0, chaos.random().nextDouble()));
            }
          });
    }

    private void observe(ServiceName service, long version) {
      long before = inForce.getOrDefault(service, 0L);
      chaos.check(
          Check.DOCUMENT_REVERTED,
          version >= before,
          service + ": " + version + " after " + before);
      inForce.put(service, version);
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
        CompletableFuture<Map<ServiceName, Long>> answer = new CompletableFuture<>();
        transfer(
            other,
            () -> {
              Map<ServiceName, Long> digest = other.holder.digest();
              transfer(Node.this, () -> answer.complete(digest));
            });
        return answer;
      }

      @Override
      public CompletableFuture<DocumentUpdate> pull(ServiceName service, long haveVersion) {
        CompletableFuture<DocumentUpdate> answer = new CompletableFuture<>();
        if (breakage == Breakage.DOCUMENTS_NOT_PULLED) {
          return answer;
        }
        transfer(
            other,
            () -> {
              DocumentUpdate update = other.holder.updateSince(service, haveVersion);
              transfer(Node.this, () -> arrived(update, answer));
            });
        return answer;
      }

      /** Messages arrive whole here. */
      @Override
      public boolean receivingLargeMessage() {
        return false;
      }

      private void arrived(DocumentUpdate update, CompletableFuture<DocumentUpdate> answer) {
        if (breakage == Breakage.LAST_DOCUMENT_WINS) {
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
        answer.complete(update);
      }
    }
  }
}
