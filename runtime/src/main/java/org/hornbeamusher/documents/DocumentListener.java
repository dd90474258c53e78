package org.hornbeamusher.documents;

/** Notified when a newer version of a document becomes current in this process. */
@FunctionalInterface
public interface DocumentListener {

  /**
   * Called after a newer version has become current. Must not block or throw.
   *
   * @param document the newer version, which may be a tombstone
   */
  void documentUpdated(ServiceDocument document);
}
