package org.hornbeamusher.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.security.Identity;
import org.hornbeamusher.toml.Problems;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class SettingsTest {

  private static final String TOKEN = "a-token-of-thirty-two-characters";

  private static final String ENTRY =
      """
      role = "entry"
      instance = "marka-entry-1"
      zone = "marka"
      platform = "http://127.0.0.1:7000"

      [http]
      port = 8080

      [wire]
      insecure = true

      [[caller]]
      id = "dispatch-desk"
      partner = "zarqa"
      token_file = "token"
      services = ["lm-dispatch"]
      """;

  @TempDir Path directory;

  private Path write(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  private List<String> problems(String text) throws IOException {
    write("token", TOKEN + "\n");
    Path file = write("entry.toml", text);
    HornbeamusherException failure =
        assertThrows(HornbeamusherException.class, () -> EntrySettings.read(file));
    assertEquals(FailureType.SETTINGS_INVALID, failure.type());
    return Problems.of(failure).all().stream()
        .map(problem -> problem.line() + " " + problem.key() + " " + problem.kind())
        .toList();
  }

  @Test
  void entryFileBecomesSettings() throws IOException {
    write("token", TOKEN + "\n");
    EntrySettings settings = EntrySettings.read(write("entry.toml", ENTRY));
    assertEquals(8080, settings.http().port());
    assertEquals(LimitSettings.DEFAULT, settings.limits());
    Identity identity = settings.tokenDirectory().find("Bearer " + TOKEN).orElseThrow();
    Identity.Caller caller = (Identity.Caller) identity;
    assertEquals(new CallerId("dispatch-desk"), caller.id());
    assertTrue(caller.mayCall(new ServiceName("lm-dispatch"), caller.partner()));
    assertFalse(caller.mayCall(new ServiceName("haul-api"), caller.partner()));
  }

  /** Five different problems are reported together, each with its line and key. */
  @Test
  void fiveDifferentProblemsAreAllReported() throws IOException {
    String text =
        ENTRY
            .replace("port = 8080", "port = 80800")
            .replace("zone = \"marka\"", "zone = 3")
            .replace("platform =", "platfrom =")
            .replace("partner = \"zarqa\"\n", "");
    assertEquals(
        List.of(
            "1 platform MISSING_KEY",
            "3 zone WRONG_TYPE",
            "4 platfrom UNKNOWN_KEY",
            "7 http.port OUT_OF_RANGE",
            "12 caller[0].partner MISSING_KEY"),
        problems(text));
  }

  /**
   * Guards against forgotten TLS files for the connections between processes, which would leave all
   * traffic unencrypted without notice.
   */
  @Test
  void plaintextConnectionsBetweenProcessesNeedExplicitSetting() throws IOException {
    assertEquals(List.of("9 wire.tls MISSING_KEY"), problems(ENTRY.replace("insecure = true", "")));
  }

  @Test
  void silenceShorterThanTwoHeartbeatsIsRefused() throws IOException {
    assertEquals(
        List.of("11 wire.silence_ms OUT_OF_RANGE"),
        problems(ENTRY.replace("insecure = true", "insecure = true\nsilence_ms = 900")));
  }

  @Test
  void tokenThatTwoCallersShareIsRefused() throws IOException {
    String second = "[[caller]]\nid = \"other\"\npartner = \"tawhiti\"\ntoken_file = \"token\"\n";
    assertEquals(List.of("1  INVALID_VALUE"), problems(ENTRY + second));
  }

  @Test
  void problemsNeverShowTheToken() throws IOException {
    String text = ENTRY.replace("token_file = \"token\"", "token_sha256 = \"" + TOKEN + "\"");
    write("token", TOKEN);
    Path file = write("entry.toml", text);
    HornbeamusherException failure =
        assertThrows(HornbeamusherException.class, () -> EntrySettings.read(file));
    assertFalse(failure.getMessage().contains(TOKEN), failure.getMessage());
  }

  @Test
  void fileOfAnotherRoleAndMissingFilesAreReported() throws IOException {
    Path file = write("agent.toml", ENTRY);
    HornbeamusherException wrongRole =
        assertThrows(HornbeamusherException.class, () -> AgentSettings.read(file));
    assertTrue(wrongRole.getMessage().contains("agent.toml:1: role: invalid-value"));
    HornbeamusherException missing =
        assertThrows(
            HornbeamusherException.class, () -> AgentSettings.read(directory.resolve("none")));
    assertEquals(FailureType.SETTINGS_INVALID, missing.type());
  }

  @Test
  void agentFileBecomesSettings() throws IOException {
    AgentSettings settings =
        AgentSettings.read(
            write(
                "agent.toml",
                """
                role = "agent"
                instance = "marka-agent-1"
                zone = "marka"
                platform = "http://127.0.0.1:7000"
                [endpoint]
                id = "lm-dispatch-1"
                pool = "amman-engines"
                uri = "http://127.0.0.1:9001"
                kind = "model"
                fencing = false
                slots = 8
                [endpoint.partner_shares]
                zarqa = 3
                [listen]
                port = 7101
                [http]
                port = 7201
                [wire]
                insecure = true
                """));
    assertEquals(Optional.of(8), settings.capacity().slots());
    assertEquals(EndpointKind.MODEL, settings.capacity().kind());
    assertFalse(settings.capacity().fencing());
    assertEquals(7101, settings.entryListener().address().getPort());
  }

  static Stream<Path> examples() throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("..", "examples"))) {
      return files.filter(file -> file.toString().endsWith(".toml")).sorted().toList().stream();
    }
  }

  @ParameterizedTest
  @MethodSource("examples")
  void everyExampleIsValid(Path file) throws IOException {
    String text = Files.readString(file);
    if (text.contains("role = \"entry\"")) {
      EntrySettings.read(file);
    } else if (text.contains("role = \"agent\"")) {
      AgentSettings.read(file);
    }
  }
}
