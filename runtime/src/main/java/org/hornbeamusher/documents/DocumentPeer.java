package org.hornbeamusher.documents;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.ids.ServiceName;

/** Another process of the system that documents are pulled from. */
public interface DocumentPeer {

  /**
   * Asks for the versions the peer holds.
   *
   * @return versions by service, tombstones included
   */
  CompletableFuture<Map<ServiceName, Long>> digest();

  /**
   * Asks for a newer version of one document.
   *
   * @param service the service
   * @param haveVersion the version held here; 0 for none
   * @return what the peer has beyond it
   */
  CompletableFuture<DocumentUpdate> pull(ServiceName service, long haveVersion);

  /**
   * Returns whether a large answer of this peer is arriving.
   *
   * @return whether what was asked of it may still come, however long that takes
   */
  boolean receiving();
}
