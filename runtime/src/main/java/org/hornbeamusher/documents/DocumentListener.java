package org.hornbeamusher.documents;

/** Is told when a newer version comes into force in this process. */
@FunctionalInterface
public interface DocumentListener {

  /**
   * A newer version is in force. Must return at once and not throw.
   *
   * @param document the version, perhaps a tombstone
   */
  void newer(ServiceDocument document);
}
