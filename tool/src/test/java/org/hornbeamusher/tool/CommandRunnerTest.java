package org.hornbeamusher.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandRunnerTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir Path directory;

  private int run(String... args) throws InterruptedException {
    Console console =
        new Console(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    return new CommandRunner(console).run(args);
  }

  private Path write(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  @Test
  void helpListsEveryCommand() throws Exception {
    assertEquals(ExitStatus.OK, run("--help"));
    String help = out.toString(StandardCharsets.UTF_8);
    for (Command command : CommandTable.COMMANDS) {
      assertTrue(help.contains("  " + command.name()), command.name());
    }
    assertTrue(help.contains("exit status"));
  }

  @Test
  void everyCommandHasItsOwnHelp() throws Exception {
    for (Command command : CommandTable.COMMANDS) {
      assertEquals(ExitStatus.OK, run(command.name(), "--help"), command.name());
    }
  }

  @Test
  void versionIsPrinted() throws Exception {
    assertEquals(ExitStatus.OK, run("--version"));
    assertEquals("hornbeamusher 0.1.0\n", out.toString(StandardCharsets.UTF_8));
  }

  @Test
  void wrongCommandLinesExitWithBadInput() throws Exception {
    assertEquals(ExitStatus.BAD_INPUT, run());
    assertEquals(ExitStatus.BAD_INPUT, run("nothing"));
    assertEquals(ExitStatus.BAD_INPUT, run("check"));
    assertEquals(ExitStatus.BAD_INPUT, run("check", "--wrong", "file"));
    assertEquals(ExitStatus.BAD_INPUT, run("submit", "file"));
    assertEquals(ExitStatus.BAD_INPUT, run("submit", "file", "--base", "1"));
  }

  /** Any number of log files is accepted; a missing file is bad input. */
  @Test
  void explainReadsAnyNumberOfLogs() throws Exception {
    String end = "{\"time\":\"2026-03-26T05:43:51.823Z\",\"name\":\"REQUEST_ENDED\",\"id\":\"c8\"}";
    Path one = write("one.log", "starting\n");
    Path two = write("two.log", end + "\n");
    assertEquals(ExitStatus.BAD_INPUT, run("explain", "c8"));
    assertEquals(ExitStatus.FAILED, run("explain", "c8", one.toString()));
    assertEquals(ExitStatus.OK, run("explain", "c8", one.toString(), two.toString()));
    assertEquals(ExitStatus.BAD_INPUT, run("explain", "c8", one + ".missing"));
  }

  /**
   * All five problems of a settings file must be printed, not only the first, and the exit status
   * must show the failure.
   */
  @Test
  void checkReportsAllProblemsOfSettings() throws Exception {
    Path file =
        write(
            "entry.toml",
            """
            role = "entry"
            instance = "Marka Entry"
            zone = 3
            platfrom = "http://127.0.0.1:7000"
            [http]
            port = 80800
            [wire]
            insecure = true
            """);
    assertEquals(ExitStatus.BAD_INPUT, run("check", file.toString()));
    String[] lines = err.toString(StandardCharsets.UTF_8).replace(file.toString(), "F").split("\n");
    assertEquals("F:1: platform: missing-key: the key is required", lines[0]);
    assertTrue(lines[1].startsWith("F:2: instance: invalid-value: not a InstanceId"), lines[1]);
    assertEquals("F:3: zone: wrong-type: must be a text, is a whole number", lines[2]);
    assertEquals("F:4: platfrom: unknown-key: no such key here", lines[3]);
    assertEquals("F:6: http.port: out-of-range: must be from 0 to 65535, is 80800", lines[4]);
    assertEquals(5, lines.length);
  }

  @Test
  void checkReportsAllProblemsOfDocument() throws Exception {
    Path file =
        write(
            "service.toml",
            """
            service = "haul-api"
            partner = "zarqa"
            poool = "servers"
            [plain]
            concurrency = 0
            """);
    assertEquals(ExitStatus.BAD_INPUT, run("check", file.toString()));
    String[] lines = err.toString(StandardCharsets.UTF_8).split("\n");
    assertEquals(4, lines.length, String.join("\n", lines));
  }

  @Test
  void everyExampleIsValid() throws Exception {
    for (String name :
        new String[] {
          "zarqa/lm-dispatch",
          "zarqa/entry-marka",
          "tawhiti/valuer-llm",
          "tawhiti/agent-valuer-llm-1"
        }) {
      Path file = Path.of("..", "examples", name + ".toml");
      assertEquals(
          ExitStatus.OK, run("check", file.toString()), err.toString(StandardCharsets.UTF_8));
    }
  }

  @Test
  void missingFilesAndUnknownRolesAreBadInput() throws Exception {
    assertEquals(ExitStatus.BAD_INPUT, run("check", directory.resolve("none").toString()));
    Path file = write("x.toml", "role = \"balancer\"");
    assertEquals(ExitStatus.BAD_INPUT, run("check", file.toString()));
  }

  /** Connection refused: the command must print a typed failure, not a stack trace. */
  @Test
  void unreachableProcessIsFailure() throws Exception {
    assertEquals(ExitStatus.FAILED, run("status", "--at", "http://127.0.0.1:1"));
    assertTrue(err.toString(StandardCharsets.UTF_8).contains("connect-failed"));
  }
}
