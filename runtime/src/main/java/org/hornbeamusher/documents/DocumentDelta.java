package org.hornbeamusher.documents;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.documents.ServiceDocument.AdapterDeclaration;
import org.hornbeamusher.documents.ServiceDocument.ServiceKind;
import org.hornbeamusher.ids.AdapterName;

/**
 * The difference between two versions of one document.
 *
 * <p>Adapters make up most of a document and few of them change at once, so a delta contains the
 * changed adapters and everything else in full. It applies only to the version it was computed
 * from: on any other version the result would be a document that nobody submitted.
 *
 * @param baseVersion the only version it applies to
 * @param head the newer version without its adapters
 * @param changed adapters that are new or different
 * @param removed adapters that the newer version lacks
 */
public record DocumentDelta(
    long baseVersion,
    ServiceDocument head,
    Map<AdapterName, AdapterDeclaration> changed,
    Set<AdapterName> removed) {

  /** Copies the collections. */
  public DocumentDelta {
    changed = Map.copyOf(changed);
    removed = Set.copyOf(removed);
  }

  /**
   * Computes the delta between two versions.
   *
   * @param older a version
   * @param newer a later version of the same service
   * @return the delta that turns the older version into the newer one
   */
  public static DocumentDelta between(ServiceDocument older, ServiceDocument newer) {
    Map<AdapterName, AdapterDeclaration> before = adapters(older);
    Map<AdapterName, AdapterDeclaration> after = adapters(newer);
    Map<AdapterName, AdapterDeclaration> changed = new HashMap<>(after);
    changed.entrySet().removeIf(entry -> entry.getValue().equals(before.get(entry.getKey())));
    Set<AdapterName> removed = new HashSet<>(before.keySet());
    removed.removeAll(after.keySet());
    return new DocumentDelta(
        older.version(), withAdapters(newer, Map.of()), Map.copyOf(changed), removed);
  }

  /**
   * Applies the delta.
   *
   * @param held the version that a process has
   * @return the newer version, or empty when {@code held} is not the base
   */
  public Optional<ServiceDocument> applyTo(ServiceDocument held) {
    boolean fits = held.service().equals(head.service()) && held.version() == baseVersion;
    if (!fits) {
      return Optional.empty();
    }
    Map<AdapterName, AdapterDeclaration> adapters = new HashMap<>(adapters(held));
    adapters.keySet().removeAll(removed);
    adapters.putAll(changed);
    return Optional.of(withAdapters(head, adapters));
  }

  private static Map<AdapterName, AdapterDeclaration> adapters(ServiceDocument document) {
    return switch (document.kind()) {
      case ServiceKind.Model model -> model.adapters();
      case ServiceKind.Plain plain -> Map.of();
    };
  }

  private static ServiceDocument withAdapters(
      ServiceDocument document, Map<AdapterName, AdapterDeclaration> adapters) {
    return switch (document.kind()) {
      case ServiceKind.Model model ->
          document.withKind(
              new ServiceKind.Model(
                  model.baseModel(),
                  adapters,
                  model.fencing(),
                  model.adapterSlots(),
                  model.batch()));
      case ServiceKind.Plain plain -> document;
    };
  }
}
