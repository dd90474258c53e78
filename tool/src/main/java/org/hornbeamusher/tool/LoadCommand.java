package org.hornbeamusher.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.load.LoadReport;
import org.hornbeamusher.load.LoadRunner;
import org.hornbeamusher.load.LoadSettings;
import org.hornbeamusher.load.Traffic;

/** Sends a skewed workload to entries and checks every response. */
final class LoadCommand implements Command {

  private static final int IO_THREADS = 2;
  private static final double SKEW = 1.0;
  private static final double UNIFORM_SHARE = 0.05;
  private static final double STREAMED_SHARE = 0.5;
  private static final int PROMPT_CHARS = 200;

  @Override
  public String name() {
    return "load";
  }

  @Override
  public List<String> arguments() {
    return List.of();
  }

  @Override
  public List<CommandOption> options() {
    return List.of(
        CommandOption.optional("at", "URI,URI", "the entries, in turn; else HORNBEAMUSHER_AT"),
        CommandOption.optional(
            "token-file", "FILE", "holds the caller's token; else HORNBEAMUSHER_TOKEN"),
        CommandOption.optional("requests", "N", "how many requests; 1000"),
        CommandOption.optional("rate", "N", "requests a second; 50"),
        CommandOption.optional("tokens", "N", "tokens of an answer; 32"),
        CommandOption.optional("percentiles", "FILE", "takes every percentile of the run"));
  }

  @Override
  public String summary() {
    return "send a skewed workload to entries and check every answer";
  }

  @Override
  public int run(CommandLine line, Console console) throws InterruptedException {
    List<URI> entries =
        Arrays.stream(OperatorClient.address(line).split(",")).map(URI::create).toList();
    String token = OperatorClient.token(line);
    Traffic traffic = traffic(line, console, entries.getFirst(), token);
    LoadSettings settings =
        LoadSettings.of(
            entries, token, number(line, "requests", 1_000), number(line, "rate", 50), traffic);
    HttpClient client = new HttpClient(IO_THREADS);
    client.start();
    try {
      LoadReport report = new LoadRunner(settings, client).run();
      report.print(console.out());
      if (line.hasOption("percentiles")) {
        writePercentiles(report, Path.of(line.getOptionValue("percentiles")));
      }
      return report.guaranteesMet() ? ExitStatus.OK : ExitStatus.FAILED;
    } finally {
      client.stop();
    }
  }

  private static Traffic traffic(CommandLine line, Console console, URI entry, String token) {
    String models = new OperatorClient(entry, token).send("GET", "/v1/models", "", console);
    List<AdapterRef> adapters = new ArrayList<>();
    for (JsonNode model : OperatorClient.parse(models).path("data")) {
      adapters.add(AdapterRef.parse(model.path("id").asText()));
    }
    if (adapters.isEmpty()) {
      throw HornbeamusherException.notRun(
          FailureType.USAGE, "the token's caller has no model at " + entry);
    }
    int tokens = number(line, "tokens", 32);
    return new Traffic.CompletionTraffic(
        adapters, SKEW, UNIFORM_SHARE, STREAMED_SHARE, PROMPT_CHARS, tokens);
  }

  private static int number(CommandLine line, String option, int defaultValue) {
    return line.hasOption(option)
        ? (int) Numbers.parse(option, line.getOptionValue(option))
        : defaultValue;
  }

  private static void writePercentiles(LoadReport report, Path file) {
    try (PrintStream out = new PrintStream(file.toFile(), StandardCharsets.UTF_8)) {
      report.printPercentiles(out);
    } catch (IOException e) {
      throw HornbeamusherException.notRun(FailureType.USAGE, file + " cannot be written")
          .causedBy(e);
    }
  }
}
