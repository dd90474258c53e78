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

/** Calls the operators' interface of one process with an operator's token. */
final class OperatorClient {

  /** The options of every command that calls a process. */
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

  /** Returns the address that the command line, else the environment names. */
  static String address(CommandLine line) {
    String environment = System.getenv().getOrDefault("HORNBEAMUSHER_AT", DEFAULT_URI);
    return line.getOptionValue("at", environment);
  }

  /** The token comes from a file or the environment: other users of a machine see its arguments. */
  static String token(CommandLine line) {
    return line.hasOption("token-file")
        ? TextFiles.read(Path.of(line.getOptionValue("token-file"))).strip()
        : System.getenv().getOrDefault("HORNBEAMUSHER_TOKEN", "");
  }

  /** Sends one call and returns the body of a good answer. */
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
      HttpResponse reply = http.send(call, TIMEOUT_MILLIS).join();
      String text = new String(reply.body(), StandardCharsets.UTF_8);
      if (reply.status() >= FIRST_ERROR_STATUS) {
        throw refused(reply.status(), text, console);
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

  /** Shows what the process said and keeps its type for the exit status. */
  private static HornbeamusherException refused(int status, String text, Console console) {
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
      String said = error.path("type").asText("status " + status);
      return HornbeamusherException.notRun(
          FailureType.REFUSED_BY_PROCESS, said, error.path("message").asText());
    } catch (IOException e) {
      return HornbeamusherException.notRun(FailureType.INTERNAL, "status " + status).causedBy(e);
    }
  }
}
