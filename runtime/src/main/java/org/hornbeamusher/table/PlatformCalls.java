package org.hornbeamusher.table;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpResponse;

/**
 * Sends calls to the platform and classifies each failure by whether a write may have taken effect.
 *
 * <p>A write has not taken effect only if the connection was refused or the platform's response
 * says so. After a timeout, a lost connection, an internal error or an unreadable response it may
 * have taken effect: otherwise a claim could be made twice or a document be reverted.
 */
final class PlatformCalls {

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int THROTTLED = 429;
  private static final int UNAVAILABLE = 503;

  private final HttpClient client;
  private final long timeoutMillis;

  PlatformCalls(HttpClient client, long timeoutMillis) {
    this.client = client;
    this.timeoutMillis = timeoutMillis;
  }

  <T> CompletableFuture<T> read(HttpRequest call, Function<byte[], T> decoder) {
    return client
        .send(call, timeoutMillis)
        .handle((response, thrown) -> decode(response, thrown, decoder, Outcome.NOT_RUN));
  }

  <T> CompletableFuture<T> write(HttpRequest call, Function<byte[], T> decoder) {
    return client
        .send(call, timeoutMillis)
        .handle((response, thrown) -> decode(response, thrown, decoder, Outcome.UNKNOWN));
  }

  private static <T> T decode(
      HttpResponse response,
      Throwable thrown,
      Function<byte[], T> decoder,
      Outcome ambiguousOutcome) {
    if (thrown != null) {
      throw connectionFailure(HornbeamusherException.from(thrown), ambiguousOutcome);
    }
    switch (response.status()) {
      case OK, CONFLICT -> {
        try {
          return decoder.apply(response.body());
        } catch (HornbeamusherException e) {
          throw ambiguousOutcome.equals(Outcome.UNKNOWN) ? responseLost("unreadable answer") : e;
        }
      }
      case THROTTLED -> throw HornbeamusherException.notRun(FailureType.PLATFORM_THROTTLED);
      case UNAVAILABLE ->
          throw HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, "status 503");
      default -> throw unexpectedStatus(response.status(), ambiguousOutcome);
    }
  }

  private static CompletionException connectionFailure(
      HornbeamusherException failure, Outcome ambiguousOutcome) {
    boolean notSent = failure.type() == FailureType.CONNECT_FAILED;
    HornbeamusherException typed =
        notSent || ambiguousOutcome.equals(Outcome.NOT_RUN)
            ? HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, failure.getMessage())
            : responseLost(failure.getMessage());
    return new CompletionException(typed.causedBy(failure));
  }

  private static HornbeamusherException unexpectedStatus(int status, Outcome ambiguousOutcome) {
    boolean internal = status >= 500;
    return internal && ambiguousOutcome.equals(Outcome.UNKNOWN)
        ? responseLost("status " + status)
        : HornbeamusherException.notRun(FailureType.PLATFORM_MALFORMED, "status " + status);
  }

  private static HornbeamusherException responseLost(String why) {
    return HornbeamusherException.of(FailureType.PLATFORM_ANSWER_LOST, Outcome.UNKNOWN, why);
  }
}
