package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.routes.AdapterKey;
import org.junit.jupiter.api.Test;

class SupersededVersionsTest {

  private static final AdapterKey ADAPTER = new AdapterKey("m", "a");

  private final SupersededVersions versions = new SupersededVersions(2_500);

  @Test
  void newestVersionDoesNotExpire() {
    versions.received(ADAPTER, 2, 0);
    assertFalse(isExpired(2, 100_000));
  }

  /** Guards against a request that begins on an older version as long as new ones are published. */
  @Test
  void laterVersionsDoNotExtendTheGracePeriod() {
    versions.received(ADAPTER, 2, 10_000);
    versions.received(ADAPTER, 3, 12_000);
    assertFalse(isExpired(1, 12_499));
    assertTrue(isExpired(1, 12_500));
    assertFalse(isExpired(2, 14_499));
    assertTrue(isExpired(2, 14_500));
  }

  /** Guards against an old version that is allowed again once its successor was forgotten. */
  @Test
  void versionsStayExpired() {
    for (int version = 2; version < 20; version++) {
      versions.received(ADAPTER, version, version * 3_000L);
    }
    for (int version = 1; version < 18; version++) {
      assertTrue(isExpired(version, 19 * 3_000L), "version " + version);
    }
  }

  private boolean isExpired(long version, long now) {
    return versions.isExpired(new AdapterVersion(ADAPTER, version), now);
  }
}
