package org.hornbeamusher.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.apache.commons.cli.CommandLine;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpResponse;

/** Client of one process's operator interface. */
final class OperatorClient {

  /** The common options of commands that call a process. */
  static final List<CommandOption> OPTIONS =
      List.of(
          CommandOption.optional("at", "URI", "the process; else HORNBEAMUSHER_AT"),
          CommandOption.optional(
              "token-file", "FILE", "holds the operator's token; else HORNBEAMUSHER_TOKEN"));

  private static final String DEFAULT_URI = "http://127.0.0.1:8080";
  private static final long TIMEOUT_MILLIS = 30_000;
  private static final int FIRST_ERROR_STATUS = 400;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final URI base;
  private final String token;

  OperatorClient(CommandLine line) {
    this(URI.create(address(line)), token(line));
  }

  OperatorClient(URI base, String token) {
    this.base = base;
    this.token = token;
  }

  /** Returns the address from the command line, or else from the environment. */
  static String address(CommandLine line) {
    String environment = System.getenv().getOrDefault("HORNBEAMUSHER_AT", DEFAULT_URI);
    return line.getOptionValue("at", environment);
  }

  /**
   * Returns the token from a file or the environment. It is not an argument because other users of
   * the machine can see the arguments of processes.
   */
  static String token(CommandLine line) {
    return line.hasOption("token-file")
        ? TextFiles.read(Path.of(line.getOptionValue("token-file"))).strip()
        : System.getenv().getOrDefault("HORNBEAMUSHER_TOKEN", "");
  }

  /** Sends a request and returns the body of a successful response. */
  String send(String method, String pathAndQuery, String body, Console console) {
    HttpClient http = new HttpClient(1);
    http.start();
    try {
      HttpRequest call =
          new HttpRequest(
              method,
              base.resolve(pathAndQuery),
              Map.of("Authorization", "Bearer " + token),
              body.getBytes(StandardCharsets.UTF_8));
      HttpResponse response = http.send(call, TIMEOUT_MILLIS).join();
      String text = new String(response.body(), StandardCharsets.UTF_8);
      if (response.status() >= FIRST_ERROR_STATUS) {
        throw failureOf(response.status(), text, console);
      }
      return text;
    } catch (CompletionException e) {
      throw HornbeamusherException.from(e);
    } finally {
      http.stop();
    }
  }

  static JsonNode parse(String json) {
    try {
      return JSON.readTree(json);
    } catch (JsonProcessingException e) {
      throw HornbeamusherException.notRun(FailureType.INTERNAL, "the answer is not JSON")
          .causedBy(e);
    }
  }

  /**
   * Prints the problems in an error response and returns an exception with its type and message.
   */
  private static HornbeamusherException failureOf(int status, String text, Console console) {
    try {
      JsonNode error = JSON.readTree(text.getBytes(StandardCharsets.UTF_8)).path("error");
      error
          .path("problems")
          .forEach(
              problem ->
                  console
                      .err()
                      .printf(
                          "%s:%d: %s: %s%n",
                          problem.path("file").asText(),
                          problem.path("line").asInt(),
                          problem.path("key").asText(),
                          problem.path("detail").asText()));
      String type = error.path("type").asText("status " + status);
      return HornbeamusherException.notRun(
          FailureType.REFUSED_BY_PROCESS, type, error.path("message").asText());
    } catch (IOException e) {
      return HornbeamusherException.notRun(FailureType.INTERNAL, "status " + status).causedBy(e);
    }
  }
}
