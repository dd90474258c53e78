package org.hornbeamusher.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StandinSettingsTest {

  @TempDir Path folder;

  @Test
  void exampleDescribesBothPartners() {
    StandinSettings settings = StandinSettings.read(Path.of("..", "examples", "standin.toml"));
    assertEquals(12, settings.engines().size());
    assertEquals(6, settings.plainServices().size());
    assertEquals(2, settings.stores().size());
    assertEquals(24, settings.platform().instances().size());
  }

  @Test
  void everyProblemIsReported() throws IOException {
    Path file = folder.resolve("standin.toml");
    Files.writeString(
        file,
        """
        [platform]
        port = 70_000
        colour = "red"

        [[engine]]
        id = "Not An Id"
        port = 0
        weight_store = "none"

        [[instance]]
        id = "i"
        port = 0
        runs = "king"
        zone = "marka"
        pool = "p"
        """);
    HornbeamusherException failure =
        assertThrows(HornbeamusherException.class, () -> StandinSettings.read(file));
    assertEquals(FailureType.SETTINGS_INVALID, failure.type());
    for (String key : new String[] {"port", "colour", "id", "weight_store", "runs", "role"}) {
      assertTrue(failure.getMessage().contains(key), () -> key + " in " + failure.getMessage());
    }
  }

  @Test
  void configuredStandinsAreStartedAndStopped() throws IOException {
    Path file = folder.resolve("standin.toml");
    Files.writeString(
        file,
        """
        role = "standin"
        [platform]
        port = 0
        [[weight_store]]
        name = "w"
        [[engine]]
        id = "e"
        port = 0
        weight_store = "w"
        [[plain]]
        id = "p"
        service = "haul-api"
        port = 0
        """);
    Standin standin = new Standin(StandinSettings.read(file), SystemClock.INSTANCE);
    standin.start();
    assertEquals(1, standin.engines().size());
    assertEquals(1, standin.plainServices().size());
    assertTrue(standin.platform().uri().getPort() > 0);
    standin.stop();
  }
}
