package org.hornbeamusher.documents;

import org.hornbeamusher.toml.Problems;

/** What reading a service document led to. */
public sealed interface DocumentParseResult {

  /**
   * The document is good.
   *
   * @param document what it declares, at version 0: the version is given when it is accepted
   */
  record Valid(ServiceDocument document) implements DocumentParseResult {}

  /**
   * The document is refused whole.
   *
   * @param problems everything that is wrong, by line; never empty
   */
  record Invalid(Problems problems) implements DocumentParseResult {}
}
