import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;

/** Settings and configurations like those of a small deployment. */
final class Site {

  static final String HOST = "ficu95.example";

  private Site() {}

  static int freePort(String ip) throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  /** The bounds of nilwave-catchup-grown where they differ from those of zarqa-haul. */
  private static final Map<String, String> NILWAVE =
      Map.of(
          "bounds.contact_ms", "4000", "bounds.ack_ms", "6000", "bounds.catch_up_s", "6",
          "bounds.drain_ms", "3000", "bounds.config_apply_ms", "3000", "bounds.outer_ms", "6000",
          "bounds.retry_slack", "94", "bounds.recover_s", "15", "bounds.pass_ms", "200");

  /** Gives settings of zarqa-haul the bounds of nilwave-catchup-grown. */
  static String nilwave(String settings) {
    StringBuilder changed = new StringBuilder();
    for (String line : settings.split("\n")) {
      String key = line.substring(0, Math.max(0, line.indexOf('=')));
      changed.append(NILWAVE.containsKey(key) ? key + "=" + NILWAVE.get(key) : line).append('\n');
    }
    return changed.toString();
  }

  /** What every process of a deployment is given; the figures are those of zarqa-haul. */
  private static String common(String name, String ip, String zone, int ports, String store) {
    return "node_name=" + name + "\nip=" + ip + "\nzone=" + zone + "\nregion=amman\n"
        + "zones.marka=amman\nzones.sahab=amman\nzones.ruseifa=amman\n"
        + "port_range=" + ports + "," + (ports + 15) + "\nbootstrap=true\nloss_counted=false\n"
        + "limits.cpu_share=0.57\nlimits.cores=1\nlimits.memory_mb=430\nlimits.max_fds=4100\n"
        + "limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n"
        + "heartbeat_ms=1200\n"
        + "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n"
        + "fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n"
        + "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\n"
        + "bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
        + "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n"
        + "bounds.outer_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
        + "bounds.retry_slack=56\nbounds.recover_s=12\nbounds.pass_ms=120\n"
        + "bounds.retry_after_s=0\nbounds.require_fence=true\nbounds.lease_ms=3000\n"
        + "bounds.thaw_ms=300\nbounds.ceiling_window_s=5\nbounds.ceiling_overshoot=1.1\n"
        + "bounds.version_ms=5000\nplatform.address=" + store + "\nplatform.form=table\n"
        + "platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.tx_ms=3.0\n"
        + "platform.part_writes_per_s=300\nplatform.row_bytes=65536\nplatform.across=true\n"
        + "platform.history_s=20\nplatform.blob_bytes=8388608\nplatform.blob_ms=25.0\n"
        + "platform.blob_mb_per_s=80.0\nmetrics_port=0\n";
  }

  static String entry(
      String name, String ip, int front, int readiness, int agentPorts, String store) {
    return common(name, ip, "marka", agentPorts, store)
        + "role=entry\nmachine_class=front\nserves=front\nlisten.front=" + ip + ":" + front
        + "\nlisten.readiness=" + ip + ":" + readiness + "\n";
  }

  static String agent(
      String name, String ip, String zone, int ports, String store, String app, String service) {
    return common(name, ip, zone, ports, store)
        + "role=agent\nmachine_class=side\nserves=side\napp=" + app + "\nservice=" + service + "\n";
  }

  static String limits() {
    return "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
  }

  static String engineService(String name, int slots) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":370,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":" + slots
        + ",\"kv_capacity\":254344,\"kv_token_bytes\":163840,\"models\":[{\"name\":\""
        + Engine.MODEL + "\",\"weight_mb\":65100,\"load_time_s\":0.6,\"adapters\":3000,"
        + "\"adapter_mb\":12.0}],\"weight_mb\":66500,\"adapter_capacity\":7,\"loads_per_s\":2.1}}";
  }

  static String plainService(String name) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":110,"
        + "\"protocol\":\"h1\",\"tls\":false}";
  }
}
