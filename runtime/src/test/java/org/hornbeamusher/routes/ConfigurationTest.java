package org.hornbeamusher.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConfigurationTest {

  private static final WeightedTarget TARGET = new WeightedTarget("s", 1);

  @Test
  void longestPrefixWins() {
    Configuration configuration = configuration(1, route("/a/"), route("/a/b/"));
    assertEquals("/a/b/", prefix(configuration, "h", "/a/b/c"));
    assertEquals("/a/", prefix(configuration, "h", "/a/x"));
  }

  @Test
  void otherHostsAndPathsHaveNoRoute() {
    Configuration configuration = configuration(1, route("/a/"));
    assertEquals(Optional.empty(), configuration.match("other", "/a/x"));
    assertEquals(Optional.empty(), configuration.match("h", "/ab"));
  }

  /** Guards against a 404 because caller and operator write a host in different case. */
  @Test
  void hostsMatchInAnyCase() {
    Configuration lower = configuration(1, route("/a/"));
    assertEquals("/a/", prefix(lower, "H", "/a/x"));
    Configuration upper = configuration(1, route("H", "/a/", List.of(TARGET)));
    assertEquals("/a/", prefix(upper, "h", "/a/x"));
  }

  /** Guards against a response that arrives out of order and restores a deleted route. */
  @Test
  void olderConfigurationIsNotRestored() {
    CurrentConfiguration inForce = new CurrentConfiguration();
    assertTrue(inForce.offer(configuration(7), 20));
    assertFalse(inForce.offer(configuration(5), 21));
    assertFalse(inForce.offer(configuration(7), 20));
    assertFalse(inForce.offer(configuration(7), 19));
    assertTrue(inForce.offer(configuration(12), 22));
    assertEquals(12, inForce.current().orElseThrow().version());
  }

  /** Guards against a version that is given out again after a restore and is taken for the old. */
  @Test
  void sameVersionWrittenLaterIsNewer() {
    CurrentConfiguration inForce = new CurrentConfiguration();
    assertTrue(inForce.offer(configuration(7, route("/a/")), 20));
    assertTrue(inForce.offer(configuration(7, route("/b/")), 21));
    assertEquals("/b/", prefix(inForce.current().orElseThrow(), "h", "/b/x"));
  }

  @Test
  void adapterVersionsDoNotDecrease() {
    LatestAdapterVersions versions = new LatestAdapterVersions();
    AdapterKey adapter = AdapterKey.parse("m/a");
    assertEquals(LatestAdapterVersions.FIRST, versions.of(adapter));
    assertTrue(versions.offer(adapter, 4));
    assertFalse(versions.offer(adapter, 3));
    assertEquals(4, versions.of(adapter));
  }

  @Test
  void trafficSplitFollowsWeights() {
    Route route = route("/a/", List.of(new WeightedTarget("x", 90), new WeightedTarget("y", 10)));
    long toY =
        java.util.stream.LongStream.range(0, 1_000)
            .filter(i -> route.service(i).equals("y"))
            .count();
    assertEquals(100, toY);
  }

  @Test
  void trafficSplitWithoutWeightsUsesFirstTarget() {
    Route route = route("/a/", List.of(new WeightedTarget("x", 0), new WeightedTarget("y", 0)));
    assertEquals("x", route.service(5));
  }

  @Test
  void onlyResumableStreamsAreRepeatable() {
    assertTrue(kind(RequestKind.IDEMPOTENT, false).repeatable());
    assertFalse(kind(RequestKind.NON_IDEMPOTENT, true).repeatable());
    assertFalse(kind(RequestKind.STREAMING, false).repeatable());
    assertTrue(kind(RequestKind.STREAMING, true).repeatable());
  }

  @Test
  void adapterKeyParsesItsTextForm() {
    assertEquals("m/a", AdapterKey.parse("m/a").toString());
    assertTrue(AdapterKey.parse("m").isBase());
  }

  private static String prefix(Configuration configuration, String host, String path) {
    return configuration.match(host, path).orElseThrow().prefix();
  }

  private static Configuration configuration(long version, Route... routes) {
    return new Configuration(version, List.of(routes), List.of());
  }

  private static Route route(String prefix) {
    return route(prefix, List.of(TARGET));
  }

  private static Route route(String prefix, List<WeightedTarget> targets) {
    return route("h", prefix, targets);
  }

  private static Route route(String host, String prefix, List<WeightedTarget> targets) {
    return new Route(
        "r", host, prefix, RequestKind.IDEMPOTENT, 1_000, 100, 0, targets, 2, false, 2_000, false);
  }

  private static Route kind(RequestKind kind, boolean resumable) {
    return new Route(
        "r", "h", "/", kind, 1_000, 100, 0, List.of(TARGET), 2, resumable, 2_000, false);
  }
}
