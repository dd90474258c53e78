package org.hornbeamusher.forwarding;

import java.net.ConnectException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpResponse;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.routes.CurrentConfiguration;
import org.hornbeamusher.routes.ServiceSpec;

/**
 * Checks an endpoint by the health check of its service, whose response contains its id. Each check
 * has its own connection, because the response names no request: on a shared one, the copy of
 * another response could be taken for it, or its copy for the response to a request.
 */
final class EndpointHealthCheck implements EndpointCheck {

  private static final long TIMEOUT_MILLIS = 500;

  private final CurrentConfiguration configuration;
  private final HeaderCodec headerCodec;
  private final HttpClient http;

  EndpointHealthCheck(
      CurrentConfiguration configuration, HeaderCodec headerCodec, HttpClient http) {
    this.configuration = configuration;
    this.headerCodec = headerCodec;
    this.http = http;
  }

  @Override
  public CompletableFuture<Result> check(EndpointView endpoint) {
    Optional<String> path =
        configuration
            .current()
            .flatMap(current -> current.service(endpoint.endpoint().service()))
            .map(ServiceSpec::healthPath);
    if (path.isEmpty()) {
      return CompletableFuture.completedFuture(Result.UNKNOWN);
    }
    HttpRequest request = HttpRequest.get(endpoint.endpoint().uri().resolve(path.get()));
    return http.sendOnOwnConnection(request, TIMEOUT_MILLIS)
        .handle(
            (response, thrown) ->
                thrown == null ? result(endpoint.id(), response) : result(thrown));
  }

  private Result result(EndpointId expected, HttpResponse response) {
    List<HttpHeader> headers =
        response.headers().entrySet().stream()
            .map(header -> new HttpHeader(header.getKey(), header.getValue()))
            .toList();
    return headerCodec
        .parseResponse(new HttpHead(response.status(), headers))
        .endpoint()
        .map(found -> found.equals(expected) ? Result.ALIVE : Result.ENDED)
        .orElse(Result.UNKNOWN);
  }

  /** A refused connection shows that no process listens; a timeout may be due to the network. */
  private static Result result(Throwable thrown) {
    for (Throwable cause = thrown; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return Result.ENDED;
      }
    }
    return Result.UNKNOWN;
  }
}
