package org.hornbeamusher.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/** Prints the text of a document. */
final class ShowCommand implements Command {

  @Override
  public String name() {
    return "show";
  }

  @Override
  public List<String> arguments() {
    return List.of("SERVICE");
  }

  @Override
  public List<CommandOption> options() {
    return CommandOption.append(
        OperatorClient.OPTIONS,
        CommandOption.optional("version", "N", "an older version, from the audit trail"));
  }

  @Override
  public String summary() {
    return "print the text of a document";
  }

  @Override
  public int run(CommandLine line, Console console) {
    String service = line.getArgList().getFirst();
    OperatorClient client = new OperatorClient(line);
    JsonNode document =
        line.hasOption("version")
            ? readOldVersion(
                client, service, Numbers.parse("version", line.getOptionValue("version")), console)
            : OperatorClient.parse(
                client.send("GET", "/operator/documents/" + service, "", console));
    console
        .err()
        .printf(
            "%s version %d%s%n",
            service,
            document.path("version").asLong(),
            document.path("deleted").asBoolean() ? " (withdrawn)" : "");
    console.out().print(document.path("text").asText());
    return ExitStatus.OK;
  }

  private static JsonNode readOldVersion(
      OperatorClient client, String service, long version, Console console) {
    String path = "/operator/history/" + service + "?limit=1&after=" + Math.max(0, version - 1);
    JsonNode first = OperatorClient.parse(client.send("GET", path, "", console)).path(0);
    if (first.path("version").asLong() != version) {
      throw HornbeamusherException.notRun(
          FailureType.DOCUMENT_UNKNOWN, service + " at version " + version);
    }
    return first;
  }
}
