package org.hornbeamusher.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.table.Instance;

/** The instance list, shown as it was some time ago. */
final class LaggingInstances {

  private final long lagMillis;
  private final Map<String, Instance> truth = new LinkedHashMap<>();
  private final Deque<Version> versions = new ArrayDeque<>();

  LaggingInstances(long lagMillis, List<Instance> first) {
    this.lagMillis = lagMillis;
    first.forEach(instance -> truth.put(instance.id(), instance));
    versions.add(new Version(Long.MIN_VALUE, first));
  }

  void put(Instance instance, long now) {
    truth.put(instance.id(), instance);
    changed(now);
  }

  void remove(String id, long now) {
    truth.remove(id);
    changed(now);
  }

  List<Instance> shown(long now) {
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

  private void changed(long now) {
    versions.add(new Version(now, List.copyOf(truth.values())));
  }

  private record Version(long atMillis, List<Instance> instances) {}
}
