package org.hornbeamusher.documents;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.ids.ServiceName;

/** Another process from which documents are pulled. */
public interface DocumentPeer {

  /**
   * Requests the versions that the peer has.
   *
   * @return versions by service, tombstones included
   */
  CompletableFuture<Map<ServiceName, Long>> digest();

  /**
   * Requests a newer version of one document.
   *
   * @param service the service
   * @param haveVersion the version present in this process; 0 for none
   * @return the peer's update to its own version
   */
  CompletableFuture<DocumentUpdate> pull(ServiceName service, long haveVersion);

  /**
   * Returns whether a large response of this peer is arriving.
   *
   * @return true if pending requests to it may still be answered, however long that takes
   */
  boolean receivingLargeMessage();
}
