package org.hornbeamusher.documents;

import org.hornbeamusher.ids.ServiceName;

/**
 * One accepted change as stored in the table; the document's row and the audit row are the same.
 *
 * @param service the service
 * @param version the version that this change created
 * @param deleted whether it withdrew the service
 * @param author who submitted it; always the owner
 * @param acceptedMillis time of acceptance, by the clock of the entry that wrote it
 * @param submission unique token that distinguishes it from other submissions of the same text
 * @param text the TOML text; of a deletion, the text of the previous version
 */
public record StoredDocument(
    ServiceName service,
    long version,
    boolean deleted,
    Principal author,
    long acceptedMillis,
    String submission,
    String text) {

  /**
   * Parses the text.
   *
   * @return the document at this version
   * @throws org.hornbeamusher.failure.HornbeamusherException {@code PLATFORM_MALFORMED} when this
   *     release cannot read it, for example because a later release wrote a key it does not know
   */
  public ServiceDocument document() {
    return switch (ServiceDocumentReader.read(service.value(), text)) {
      case DocumentParseResult.Valid valid -> valid.document().at(version, deleted);
      case DocumentParseResult.Invalid invalid ->
          throw DocumentRows.malformed(invalid.problems().toString());
    };
  }
}
