import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback addresses: machines of the system, started as processes. */
final class Lab implements AutoCloseable {

  static final int CALLERS = 8149;
  static final int READINESS = 8141;
  static final int APP = 8145;
  static final int STORE = 8142;

  /** Ends the run before the time that a script may take. */
  private static final long MAXIMUM_RUN_MILLIS = 112_000;

  private static final long START = System.nanoTime();
  private final String network;
  private final Path temporary;
  private final BufferedWriter record;
  private final List<Machine> machines = new ArrayList<>();
  private final List<String> extraSettings = new ArrayList<>();

  /** Machines that reach the store at another of its addresses. */
  final java.util.Map<Integer, Integer> storeHosts = new java.util.HashMap<>();

  static {
    // A run that fails by itself must not end with 1, which says that the rule was broken.
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, thrown) -> {
          thrown.printStackTrace();
          if (thread.getName().equals("main")) {
            Runtime.getRuntime().exit(2);
          }
        });
  }

  Lab() throws IOException {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    network = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
    temporary = Files.createTempDirectory("review-2-");
    record = Files.newBufferedWriter(Path.of(System.getenv("RECORD")), StandardCharsets.UTF_8);
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    Thread.ofPlatform()
        .daemon()
        .start(
            () -> {
              sleep(MAXIMUM_RUN_MILLIS);
              write("the run took too long");
              Runtime.getRuntime().exit(2);
            });
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static long millis() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  String ip(int host) {
    return network + host;
  }

  synchronized void write(String text) {
    try {
      record.write("%8.3f  %s%n".formatted(millis() / 1000.0, text));
      record.flush();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Ends the run: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  void exit(int status, String why) {
    write("exit " + status + ": " + why);
    System.out.println("exit " + status + ": " + why);
    end();
    Runtime.getRuntime().halt(status);
  }

  private void end() {
    machines.forEach(Machine::kill);
    try (var files = Files.walk(temporary)) {
      if (System.getenv("KEEP_LOGS") != null) {
        System.out.println("logs in " + temporary);
        return;
      }
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // The system's temporary folder is emptied by others.
    }
  }

  @Override
  public void close() {
    end();
  }

  void addSettings(String... lines) {
    extraSettings.addAll(Arrays.asList(lines));
  }

  /** Starts an entry on a front machine. */
  Machine entry(int host, String zone) throws IOException {
    return machine("entry", host, zone, "serves=front", "listen.front=" + ip(host) + ":" + CALLERS,
        "listen.readiness=" + ip(host) + ":" + READINESS);
  }

  /** Starts an agent on a side machine beside a worker of the service. */
  Machine agent(int host, String zone, String service) throws IOException {
    return machine("agent", host, zone, "serves=side", "app=" + ip(host) + ":" + APP, "service=" + service);
  }

  private Machine machine(String role, int host, String zone, String... own) throws IOException {
    List<String> lines = new ArrayList<>();
    lines.add("node_name=" + role + "-" + host);
    lines.add("role=" + role);
    lines.add("machine_class=" + (role.equals("entry") ? "front" : "side"));
    lines.add("ip=" + ip(host));
    lines.add("zone=" + zone);
    lines.add("region=amman");
    lines.addAll(Arrays.asList(own));
    lines.addAll(
        """
        zones.marka=amman
        zones.sahab=amman
        zones.ruseifa=amman
        port_range=7380,7395
        bootstrap=true
        loss_counted=false
        limits.cpu_share=0.57
        limits.cores=1
        limits.memory_mb=430
        limits.max_fds=4100
        limits.link_mbps=1000.0
        limits.disk_mb=0
        discovery=platform
        entry=vip
        heartbeat_ms=1200
        contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
        fault_tolerance.machines=1
        fault_tolerance.zones=0
        fault_tolerance.regions=0
        bounds.seed_lag_s=3
        bounds.reuse_after_s=2
        bounds.contact_ms=3000
        bounds.ack_ms=4000
        bounds.catch_up_s=4
        bounds.drain_ms=2000
        bounds.grace_s=8
        bounds.loss_slack_ms=200
        bounds.config_apply_ms=2000
        bounds.rollback_slack_ms=250
        bounds.outer_ms=5000
        bounds.retry_budget_ratio=0.2
        bounds.budget_window_s=10
        bounds.retry_slack=56
        bounds.recover_s=12
        bounds.pass_ms=120
        bounds.retry_after_s=0
        bounds.require_fence=true
        bounds.lease_ms=3000
        bounds.thaw_ms=300
        bounds.ceiling_window_s=5
        bounds.ceiling_overshoot=1.1
        bounds.version_ms=5000
        platform.form=table
        platform.writes_per_s=400
        platform.reads_per_s=2000
        platform.tx_ms=3.0
        platform.part_writes_per_s=300
        platform.row_bytes=65536
        platform.across=true
        platform.history_s=20
        platform.blob_bytes=8388608
        platform.blob_ms=25.0
        platform.blob_mb_per_s=80.0
        """
            .lines()
            .toList());
    lines.add("platform.address=" + ip(storeHosts.getOrDefault(host, 1)) + ":" + STORE);
    lines.addAll(extraSettings);
    Path settings = temporary.resolve(role + "-" + host + ".conf");
    Files.write(settings, lines);
    Machine machine = new Machine(role, host, settings);
    machines.add(machine);
    machine.start();
    return machine;
  }

  /** Waits until an entry says that it is ready. */
  void awaitReady(Machine entry, long withinMillis) {
    long end = millis() + withinMillis;
    while (millis() < end) {
      if (ready(entry)) {
        write(entry.name() + " is ready");
        return;
      }
      sleep(100);
    }
    exit(2, entry.name() + " is not ready");
  }

  boolean ready(Machine entry) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip(entry.host), READINESS), 300);
      socket.setSoTimeout(1000);
      socket.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
      String line = Http.line(socket.getInputStream());
      return line != null && line.contains(" 200");
    } catch (IOException e) {
      return false;
    }
  }

  /** One process of the system on its machine. */
  final class Machine {
    private final String role;
    final int host;
    private final Path settings;
    private Process process;

    Machine(String role, int host, Path settings) {
      this.role = role;
      this.host = host;
      this.settings = settings;
    }

    String name() {
      return role + "-" + host;
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(command(role));
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("HORNBEAMUSHER_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve(name() + ".log").toFile()));
      process = builder.start();
      write(name() + " started, process " + process.pid());
    }

    void kill() {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    boolean alive() {
      return process.isAlive();
    }

    void signal(String name) {
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        write("SIG" + name + " to " + name());
      } catch (IOException | InterruptedException e) {
        exit(2, "kill: " + e);
      }
    }

    List<String> log() throws IOException {
      return Files.readAllLines(temporary.resolve(name() + ".log"));
    }
  }

  /** The words of a role's command in the deploy file. */
  private static List<String> command(String role) throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher run =
        Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no command of " + role);
    }
    return List.of(run.group(1).split(" "));
  }
}
