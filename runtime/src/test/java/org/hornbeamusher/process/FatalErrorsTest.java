package org.hornbeamusher.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import org.hornbeamusher.events.LogSetup;
import org.junit.jupiter.api.Test;

class FatalErrorsTest {

  private static final long EXIT_SECONDS = 20;

  /** Guards against a process that stays up without one of its threads and answers nothing. */
  @Test
  void errorOfThreadEndsTheProcess() throws IOException, InterruptedException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Broken.class.getName())
            .redirectErrorStream(true)
            .start();
    try {
      assertTrue(process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS), "the process is still there");
      assertEquals(FatalErrors.EXIT_STATUS, process.exitValue());
      String log = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(log.contains("PROCESS_FAILED") && log.contains("broken"), log);
    } finally {
      process.destroyForcibly();
    }
  }

  /** A process that loses a thread while its main thread waits. */
  static final class Broken {

    private Broken() {}

    public static void main(String[] args) throws InterruptedException {
      LogSetup.toStandardOutput(Level.INFO);
      FatalErrors.endProcess();
      Thread.ofPlatform()
          .daemon()
          .start(
              () -> {
                throw new AssertionError("broken");
              });
      Thread.sleep(TimeUnit.SECONDS.toMillis(2 * EXIT_SECONDS));
    }
  }
}
