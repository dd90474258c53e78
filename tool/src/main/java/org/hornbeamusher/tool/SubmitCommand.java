package org.hornbeamusher.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.hornbeamusher.documents.DocumentParseResult;
import org.hornbeamusher.documents.ServiceDocumentReader;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/** Submits a service document. */
final class SubmitCommand implements Command {

  @Override
  public String name() {
    return "submit";
  }

  @Override
  public List<String> arguments() {
    return List.of("FILE");
  }

  @Override
  public List<CommandOption> options() {
    return CommandOption.append(
        OperatorClient.OPTIONS,
        CommandOption.required("base", "N", "the version the change is based on; 0 for none"));
  }

  @Override
  public String summary() {
    return "submit a service document";
  }

  @Override
  public int run(CommandLine line, Console console) {
    Path file = Path.of(line.getArgList().getFirst());
    String text = TextFiles.read(file);
    long base = Numbers.parse("base", line.getOptionValue("base"));
    String service = service(file, text);
    String response =
        new OperatorClient(line)
            .send("POST", "/operator/documents/" + service + "?base=" + base, text, console);
    JsonNode accepted = OperatorClient.parse(response);
    console
        .out()
        .printf(
            "accepted: %s version %d%n",
            accepted.path("service").asText(), accepted.path("version").asLong());
    return ExitStatus.OK;
  }

  /**
   * Returns the service's name from the document. An invalid document is rejected here with its
   * problems, before any process is called.
   */
  private static String service(Path file, String text) {
    return switch (ServiceDocumentReader.read(file.toString(), text)) {
      case DocumentParseResult.Valid valid -> valid.document().service().value();
      case DocumentParseResult.Invalid invalid ->
          throw HornbeamusherException.notRun(FailureType.DOCUMENT_INVALID, invalid.problems());
    };
  }
}
