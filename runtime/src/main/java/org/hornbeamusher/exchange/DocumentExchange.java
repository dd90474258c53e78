package org.hornbeamusher.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.hornbeamusher.documents.DocumentCodec;
import org.hornbeamusher.documents.DocumentSync;
import org.hornbeamusher.documents.DocumentUpdate;
import org.hornbeamusher.documents.LatestDocuments;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/**
 * Answers peers that ask for documents, and asks them for what is newer there.
 *
 * <p>It has no policy: {@link DocumentSync} decides whom to ask and when.
 */
public final class DocumentExchange {

  private final LatestDocuments documents;
  private final DocumentSync sync;
  private final Map<WireConnection, WireDocumentPeer> peers = new ConcurrentHashMap<>();

  /**
   * Creates an exchange.
   *
   * @param documents what this process holds
   * @param sync decides what to ask for
   */
  public DocumentExchange(LatestDocuments documents, DocumentSync sync) {
    this.documents = documents;
    this.sync = sync;
  }

  /**
   * Gives the digest for heartbeats.
   *
   * @return a hash of what is held
   */
  public long digest() {
    return documents.digestHash();
  }

  /**
   * Greets a new peer with the digest, so that a process that has just started gets its documents
   * without waiting for a heartbeat.
   *
   * @param connection the connection
   */
  public void opened(WireConnection connection) {
    connection.send(new Message.Heartbeat(0, digest()));
  }

  /** Tells every peer at once that something newer is held here. */
  public void announce() {
    Message heartbeat = new Message.Heartbeat(0, digest());
    peers.keySet().forEach(connection -> connection.send(heartbeat));
  }

  /**
   * Takes in a peer's digest.
   *
   * @param connection the connection
   * @param digest the hash it carried
   */
  public void heartbeat(WireConnection connection, long digest) {
    sync.digestHashReceived(peer(connection), digest);
  }

  /**
   * Takes in a message, if it is about documents.
   *
   * @param connection the connection
   * @param message any message
   */
  public void received(WireConnection connection, Message message) {
    switch (message) {
      case Message.DocumentPull pull -> connection.send(answer(pull));
      case Message.DocumentDigest digest ->
          peer(connection).digestArrived(versions(digest.versions()));
      case Message.DocumentPush push ->
          peer(connection)
              .updateArrived(
                  new ServiceName(push.service()), DocumentCodec.decodeUpdate(push.content()));
      default -> {}
    }
  }

  /**
   * Forgets a peer.
   *
   * @param connection the connection that ended
   */
  public void closed(WireConnection connection) {
    WireDocumentPeer peer = peers.remove(connection);
    if (peer != null) {
      sync.removePeer(peer);
      peer.closed();
    }
  }

  private WireDocumentPeer peer(WireConnection connection) {
    return peers.computeIfAbsent(connection, WireDocumentPeer::new);
  }

  private Message answer(Message.DocumentPull pull) {
    if (pull.service().isEmpty()) {
      Map<String, Long> versions = new HashMap<>();
      documents.digest().forEach((service, version) -> versions.put(service.value(), version));
      return new Message.DocumentDigest(versions);
    }
    DocumentUpdate update =
        documents.updateSince(new ServiceName(pull.service()), pull.haveVersion());
    return new Message.DocumentPush(pull.service(), DocumentCodec.encodeUpdate(update));
  }

  private static Map<ServiceName, Long> versions(Map<String, Long> digest) {
    Map<ServiceName, Long> versions = new HashMap<>();
    digest.forEach((service, version) -> versions.put(new ServiceName(service), version));
    return versions;
  }
}
