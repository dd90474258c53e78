package org.hornbeamusher.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.List;
import org.apache.commons.cli.CommandLine;

/** Lists the audit trail of a service. */
final class HistoryCommand implements Command {

  @Override
  public String name() {
    return "history";
  }

  @Override
  public List<String> arguments() {
    return List.of("SERVICE");
  }

  @Override
  public List<CommandOption> options() {
    return OperatorClient.OPTIONS;
  }

  @Override
  public String summary() {
    return "list accepted changes and refused attempts";
  }

  @Override
  public int run(CommandLine line, Console console) {
    String service = line.getArgList().getFirst();
    OperatorClient client = new OperatorClient(line);
    String changes = client.send("GET", "/operator/history/" + service, "", console);
    for (JsonNode change : OperatorClient.parse(changes)) {
      console
          .out()
          .printf(
              "%s  version %-6d %s/%s%s%n",
              Instant.ofEpochMilli(change.path("accepted_ms").asLong()),
              change.path("version").asLong(),
              change.path("partner").asText(),
              change.path("team").asText(),
              change.path("deleted").asBoolean() ? " withdrew the service" : "");
    }
    String attempts = client.send("GET", "/operator/attempts/" + service, "", console);
    for (JsonNode attempt : OperatorClient.parse(attempts)) {
      console
          .out()
          .printf(
              "%s  REFUSED        %s/%s%n",
              Instant.ofEpochMilli(attempt.path("tried_ms").asLong()),
              attempt.path("partner").asText(),
              attempt.path("team").asText());
    }
    return ExitStatus.OK;
  }
}
