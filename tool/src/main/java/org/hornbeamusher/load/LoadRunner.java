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
 * Open-loop load generator: sends a workload and reports the outcomes.
 *
 * <p>Requests are due at a fixed rate regardless of the system's progress, and latencies are
 * measured from the time a request was due. Otherwise a system that stalls would also stall the
 * workload, and the latencies would not show how many callers had to wait (coordinated omission).
 */
public final class LoadRunner {

  private final LoadSettings settings;
  private final HttpClient client;
  private final LoadTally tally = new LoadTally();
  private final Semaphore inFlightPermits;

  /**
   * Creates a run.
   *
   * @param settings the workload
   * @param client client to send with; started and stopped by the caller
   */
  public LoadRunner(LoadSettings settings, HttpClient client) {
    this.settings = settings;
    this.client = client;
    this.inFlightPermits = new Semaphore(settings.maxInFlight());
  }

  /**
   * Sends all requests and waits for all responses.
   *
   * @return the outcomes as callers see them
   * @throws InterruptedException when interrupted
   */
  public LoadReport run() throws InterruptedException {
    Workload workload = new Workload(settings, new SecureRandom());
    long begin = Stopwatch.micros();
    for (int i = 0; i < settings.requests(); i++) {
      LoadRequest request = workload.next(i);
      boolean resent = workload.shouldResend(request);
      long due = awaitDue(begin, i);
      inFlightPermits.acquire();
      if (settings.requestsPerSecond() <= 0) {
        due = Stopwatch.micros();
      }
      URI entry = settings.entries().get(i % settings.entries().size());
      URI next = settings.entries().get((i + 1) % settings.entries().size());
      send(request, entry, due)
          .thenAccept(verdict -> resendOrRelease(request, verdict, resent, next));
    }
    inFlightPermits.acquire(settings.maxInFlight());
    return tally.report(Stopwatch.micros() - begin);
  }

  /**
   * Waits until a request is due. Without a rate a request is due as soon as fewer requests than
   * the limit are in flight.
   */
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

  /**
   * Sends an answered request again to another entry if it was drawn for that, and releases its
   * permit at the end.
   */
  private void resendOrRelease(LoadRequest request, Verdict first, boolean resent, URI entry) {
    if (!resent || !(first instanceof Verdict.Answered)) {
      inFlightPermits.release();
      return;
    }
    Exchange again = new Exchange(request, Stopwatch.micros());
    again.send(entry);
    again.result.thenAccept(
        end -> {
          tally.addSecondSend(end.verdict(), end.replayed());
          inFlightPermits.release();
        });
  }

  private CompletableFuture<Verdict> send(LoadRequest request, URI entry, long due) {
    Exchange exchange = new Exchange(request, due);
    exchange.send(entry);
    return exchange.result.thenApply(
        end -> {
          tally.add(end.verdict(), end.timing());
          return end.verdict();
        });
  }

  private record ExchangeResult(Verdict verdict, LoadTally.Latencies timing, boolean replayed) {}

  /** One HTTP exchange: collects the response and checks it, or gives up after the timeout. */
  private final class Exchange implements HttpStreamListener {

    private static final String LOAD_STALL = "x-load-stall-ms";
    private static final String REPLAYED = "x-replayed";

    private final LoadRequest request;
    private final long due;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final AtomicBoolean ended = new AtomicBoolean();
    final CompletableFuture<ExchangeResult> result = new CompletableFuture<>();
    private int status;
    private long firstMicros = -1;
    private long stallMillis;
    private boolean replayed;

    Exchange(LoadRequest request, long due) {
      this.request = request;
      this.due = due;
    }

    void send(URI entry) {
      HttpStream stream = client.stream(request.call(entry, settings), this);
      result
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
      finish(ResponseChecker.check(request, status, text()));
    }

    /** A truncated response may end with a typed error; without one it counts as lost. */
    @Override
    public void failed(Throwable failure) {
      if (status == 0) {
        finish(new Verdict.Lost("no answer: " + failure.getMessage()));
        return;
      }
      Verdict verdict = ResponseChecker.check(request, status, text());
      boolean complete = verdict instanceof Verdict.Answered || verdict instanceof Verdict.Wrong;
      finish(complete ? new Verdict.Lost("cut: " + failure.getMessage()) : verdict);
    }

    private String text() {
      return body.toString(StandardCharsets.UTF_8);
    }

    private void finish(Verdict verdict) {
      if (ended.compareAndSet(false, true)) {
        long now = Stopwatch.micros();
        long first = firstMicros < 0 ? now : firstMicros;
        result.complete(
            new ExchangeResult(
                verdict, new LoadTally.Latencies(now - due, first - due, stallMillis), replayed));
      }
    }
  }
}
