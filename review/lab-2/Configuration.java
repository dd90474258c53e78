/** The operator's configurations. */
final class Configuration {

  private Configuration() {}

  static String route(String name, String prefix, String kind, int timeout, int target, String service, int attempts, boolean resumable) {
    return ("{\"name\":\"%s\",\"host\":\"h.example\",\"prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":%d,"
            + "\"target_latency_ms\":%d,\"priority\":1,\"service\":\"%s\",\"attempts\":%d,"
            + "\"session_affinity\":%b,\"resumable\":%b,\"gap_target_ms\":300}")
        .formatted(name, prefix, kind, timeout, target, service, attempts, kind.equals("streaming"), resumable);
  }

  static final String ENGINE =
      "{\"name\":\"lm-dispatch\",\"health_path\":\"/health\",\"max_connections\":370,\"protocol\":\"h1\","
          + "\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity\":254344,\"models\":[{\"name\":\"m0\","
          + "\"weight_mb\":65100,\"load_time_s\":0.6,\"adapters\":3000,\"adapter_mb\":12.0}],"
          + "\"weight_mb\":66500.0,\"adapter_capacity\":7,\"loads_per_s\":2.1}}";

  static String plain(String name) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}";
  }

  static String of(int version, String routes, String services) {
    return of(version, routes, services, "");
  }

  static String of(int version, String routes, String services, String tenants) {
    return ("{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}%s}")
        .formatted(version, routes, services, tenants);
  }
}
