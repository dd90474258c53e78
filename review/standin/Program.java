import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** One of the project's programs, as its own process with the command of the deploy file. */
final class Program {

  private final List<String> command;
  private final Path settings;
  private final File log;
  private Process process;

  Program(String role, Path folder, String name, String settingsText) throws Exception {
    command = command(role);
    settings = folder.resolve(name + ".conf");
    log = folder.resolve(name + ".log").toFile();
    Files.writeString(settings, settingsText);
  }

  /** The command of a role in the deploy file, split at spaces. */
  private static List<String> command(String role) throws Exception {
    String wanted = "[roles." + role + "]";
    boolean inside = false;
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        inside = line.trim().equals(wanted);
      } else if (inside && line.startsWith("run")) {
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IllegalStateException("no role " + role);
  }

  void start() throws Exception {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("HORNBEAMUSHER_CONFIG", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
  }

  boolean alive() {
    return process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  void kill() {
    process.destroyForcibly().onExit().join();
  }

  void signal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  File log() {
    return log;
  }
}
