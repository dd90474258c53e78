package org.hornbeamusher.forwarding;

import java.net.ConnectException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.http.ConnectionOptions;
import org.hornbeamusher.http.ConnectionUse;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpStream;
import org.hornbeamusher.http.HttpStreamListener;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.placement.EndpointView;

/**
 * Checks over a new connection whether an engine still runs. An engine at its limit of connections
 * ends the connection, which also shows that it runs. The check names the engine, so that another
 * endpoint that uses its address by now refuses it.
 */
final class EngineReachabilityCheck implements EndpointCheck {

  /** Covers a packet each way between availability zones and a busy peer. */
  static final long TIMEOUT_MILLIS = 300;

  /** Another endpoint uses the address. */
  private static final int MISDIRECTED = 421;

  private final String path;
  private final HeaderCodec headerCodec;
  private final HttpClient http;
  private final EventLoop loop;

  /**
   * Creates a check.
   *
   * @param path what an engine answers without a free slot
   * @param headerCodec reads the id in the response
   * @param http sends the checks
   * @param loop runs the timeouts
   */
  EngineReachabilityCheck(String path, HeaderCodec headerCodec, HttpClient http, EventLoop loop) {
    this.path = path;
    this.headerCodec = headerCodec;
    this.http = http;
    this.loop = loop;
  }

  @Override
  public CompletableFuture<Result> check(EndpointView endpoint) {
    ResultListener listener = new ResultListener(endpoint.id());
    HttpStream stream =
        http.stream(
            request(endpoint),
            listener,
            new ConnectionOptions(TIMEOUT_MILLIS, Integer.MAX_VALUE, false));
    EventLoop.Timer timeout =
        loop.after(TIMEOUT_MILLIS, () -> listener.result.complete(Result.UNKNOWN));
    listener.result.thenRun(
        () -> {
          timeout.cancel();
          stream.cancel();
        });
    return listener.result;
  }

  private HttpRequest request(EndpointView endpoint) {
    AttemptMetadata metadata =
        new AttemptMetadata(
            endpoint.id(), TIMEOUT_MILLIS, 0, Optional.empty(), OptionalLong.empty());
    HttpRequest plain = HttpRequest.get(endpoint.endpoint().uri().resolve(path));
    return new HttpRequest(
        plain.method(),
        plain.uri(),
        plain.host(),
        plain.target(),
        headerCodec.toEndpoint(plain.headers(), metadata),
        plain.body());
  }

  private final class ResultListener implements HttpStreamListener {

    private final EndpointId expected;
    private final CompletableFuture<Result> result = new CompletableFuture<>();
    private volatile boolean connected;

    ResultListener(EndpointId expected) {
      this.expected = expected;
    }

    @Override
    public void connected(ConnectionUse connection) {
      connected = true;
    }

    @Override
    public void head(HttpHead head) {
      boolean other =
          head.status() == MISDIRECTED
              || headerCodec
                  .parseResponse(head)
                  .endpoint()
                  .filter(found -> !found.equals(expected))
                  .isPresent();
      result.complete(other ? Result.ENDED : Result.ALIVE);
    }

    @Override
    public void data(byte[] bytes) {}

    @Override
    public void end() {}

    @Override
    public void failed(Throwable failure) {
      if (connected) {
        result.complete(Result.ALIVE);
      } else {
        result.complete(isRefused(failure) ? Result.ENDED : Result.UNKNOWN);
      }
    }

    /** A refused connection shows that no process listens; a timeout may be due to the network. */
    private static boolean isRefused(Throwable failure) {
      for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
        if (cause instanceof ConnectException) {
          return true;
        }
      }
      return false;
    }
  }
}
