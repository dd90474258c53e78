package org.hornbeamusher.documents;

import org.hornbeamusher.ids.ServiceName;

/**
 * A change that somebody asks for.
 *
 * @param change what is to become of the service
 * @param baseVersion the version it was based on; 0 for a service without a document
 * @param author whom the token stands for
 * @param token tells this submission from others, so that it recognises its own write
 */
record Submission(Change change, long baseVersion, Principal author, String token) {

  /** What is to become of a service. */
  sealed interface Change {

    ServiceName service();

    /** The text becomes the document. */
    record Replace(ServiceDocument document, String text) implements Change {
      @Override
      public ServiceName service() {
        return document.service();
      }
    }

    /** The service is withdrawn. */
    record Delete(ServiceName service) implements Change {}
  }
}
