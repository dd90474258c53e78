package org.hornbeamusher.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.table.Instance;

/** The instance list, returned as it was a fixed lag ago. */
final class LaggedInstanceList {

  private final long lagMillis;
  private final Map<String, Instance> current = new LinkedHashMap<>();
  private final Deque<Version> versions = new ArrayDeque<>();

  LaggedInstanceList(long lagMillis, List<Instance> first) {
    this.lagMillis = lagMillis;
    first.forEach(instance -> current.put(instance.id(), instance));
    versions.add(new Version(Long.MIN_VALUE, first));
  }

  void put(Instance instance, long now) {
    current.put(instance.id(), instance);
    recordVersion(now);
  }

  void remove(String id, long now) {
    current.remove(id);
    recordVersion(now);
  }

  List<Instance> visibleAt(long now) {
    Version shown = versions.getFirst();
    while (versions.size() > 1) {
      versions.removeFirst();
      if (versions.getFirst().atMillis() + lagMillis > now) {
        versions.addFirst(shown);
        return shown.instances();
      }
      shown = versions.getFirst();
    }
    return shown.instances();
  }

  private void recordVersion(long now) {
    versions.add(new Version(now, List.copyOf(current.values())));
  }

  private record Version(long atMillis, List<Instance> instances) {}
}
