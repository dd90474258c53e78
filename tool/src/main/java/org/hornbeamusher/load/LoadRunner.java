package org.hornbeamusher.load;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpStream;
import org.hornbeamusher.http.HttpStreamListener;

/**
 * Sends a workload and reports what came.
 *
 * <p>Requests are due at a fixed rate whatever the system does, and latencies count from when a
 * request was due: a system that stalls would otherwise also stall the workload, and hide how many
 * callers it kept waiting.
 */
public final class LoadRunner {

  private final LoadSettings settings;
  private final HttpClient client;
  private final LoadTally tally = new LoadTally();
  private final Semaphore room;

  /**
   * Creates a run.
   *
   * @param settings what is sent
   * @param client sends it; started and stopped by the caller
   */
  public LoadRunner(LoadSettings settings, HttpClient client) {
    this.settings = settings;
    this.client = client;
    this.room = new Semaphore(settings.inFlight());
  }

  /**
   * Sends every request and waits for every answer.
   *
   * @return what callers received
   * @throws InterruptedException when interrupted
   */
  public LoadReport run() throws InterruptedException {
    Workload workload = new Workload(settings, new SecureRandom());
    long begin = Stopwatch.micros();
    for (int i = 0; i < settings.requests(); i++) {
      LoadRequest request = workload.next(i);
      boolean resent = workload.resent(request);
      long due = awaitDue(begin, i);
      room.acquire();
      if (settings.requestsPerSecond() <= 0) {
        due = Stopwatch.micros();
      }
      URI entry = settings.entries().get(i % settings.entries().size());
      URI next = settings.entries().get((i + 1) % settings.entries().size());
      send(request, entry, due).thenAccept(verdict -> answered(request, verdict, resent, next));
    }
    room.acquire(settings.inFlight());
    return tally.report(Stopwatch.micros() - begin);
  }

  /** Waits until a request is due; without a rate it is due when there is room for it. */
  private long awaitDue(long begin, int number) {
    if (settings.requestsPerSecond() <= 0) {
      return 0;
    }
    long due = begin + Math.round(number * 1e6 / settings.requestsPerSecond());
    long wait = due - Stopwatch.micros();
    while (wait > 0) {
      LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(wait));
      wait = due - Stopwatch.micros();
    }
    return due;
  }

  /** Sends the request again if it is drawn for that, at another entry, or makes room. */
  private void answered(LoadRequest request, Verdict first, boolean resent, URI entry) {
    if (!resent || !(first instanceof Verdict.Answered)) {
      room.release();
      return;
    }
    Exchange again = new Exchange(request, Stopwatch.micros());
    again.begin(entry);
    again.outcome.thenAccept(
        end -> {
          tally.addResent(end.verdict(), end.replayed());
          room.release();
        });
  }

  private CompletableFuture<Verdict> send(LoadRequest request, URI entry, long due) {
    Exchange exchange = new Exchange(request, due);
    exchange.begin(entry);
    return exchange.outcome.thenApply(
        end -> {
          tally.add(end.verdict(), end.timing());
          return end.verdict();
        });
  }

  private record Ending(Verdict verdict, LoadTally.Timing timing, boolean replayed) {}

  /** One exchange: collects what comes, judges it, and gives up after the timeout. */
  private final class Exchange implements HttpStreamListener {

    private static final String LOAD_STALL = "x-load-stall-ms";
    private static final String REPLAYED = "x-replayed";

    private final LoadRequest request;
    private final long due;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final AtomicBoolean ended = new AtomicBoolean();
    final CompletableFuture<Ending> outcome = new CompletableFuture<>();
    private int status;
    private long firstMicros = -1;
    private long stallMillis;
    private boolean replayed;

    Exchange(LoadRequest request, long due) {
      this.request = request;
      this.due = due;
    }

    void begin(URI entry) {
      HttpStream stream = client.stream(request.call(entry, settings), this);
      outcome
          .copy()
          .orTimeout(settings.timeoutMillis(), TimeUnit.MILLISECONDS)
          .exceptionally(
              timeout -> {
                stream.cancel();
                finish(new Verdict.Lost("no answer within " + settings.timeoutMillis() + " ms"));
                return null;
              });
    }

    @Override
    public void head(HttpHead head) {
      status = head.status();
      replayed = head.first(REPLAYED).isPresent();
      stallMillis = Long.parseLong(head.first(LOAD_STALL).orElse("0"));
    }

    @Override
    public void data(byte[] bytes) {
      if (firstMicros < 0) {
        firstMicros = Stopwatch.micros();
      }
      body.writeBytes(bytes);
    }

    @Override
    public void end() {
      finish(AnswerCheck.check(request, status, text()));
    }

    /** A cut answer may still end in a typed error; without one it is lost. */
    @Override
    public void failed(Throwable failure) {
      if (status == 0) {
        finish(new Verdict.Lost("no answer: " + failure.getMessage()));
        return;
      }
      Verdict verdict = AnswerCheck.check(request, status, text());
      boolean whole = verdict instanceof Verdict.Answered || verdict instanceof Verdict.Wrong;
      finish(whole ? new Verdict.Lost("cut: " + failure.getMessage()) : verdict);
    }

    private String text() {
      return body.toString(StandardCharsets.UTF_8);
    }

    private void finish(Verdict verdict) {
      if (ended.compareAndSet(false, true)) {
        long now = Stopwatch.micros();
        long first = firstMicros < 0 ? now : firstMicros;
        outcome.complete(
            new Ending(
                verdict, new LoadTally.Timing(now - due, first - due, stallMillis), replayed));
      }
    }
  }
}
