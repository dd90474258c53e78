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
 * Exchanges documents with peers over their connections: responds to their requests and passes
 * their messages to {@link DocumentSync}, which decides what to request from which peer and when.
 */
public final class DocumentExchange {

  private final LatestDocuments documents;
  private final DocumentSync sync;
  private final Map<WireConnection, WireDocumentPeer> peers = new ConcurrentHashMap<>();

  /**
   * Creates an exchange without peers.
   *
   * @param documents the documents of this process
   * @param sync decides what to request
   */
  public DocumentExchange(LatestDocuments documents, DocumentSync sync) {
    this.documents = documents;
    this.sync = sync;
  }

  /**
   * Returns the digest for heartbeats.
   *
   * @return a hash of the versions of all documents
   */
  public long digest() {
    return documents.digestHash();
  }

  /**
   * Sends the digest to a new peer, so that a process that has just started receives the documents
   * without waiting for the next heartbeat.
   *
   * @param connection the connection
   */
  public void opened(WireConnection connection) {
    connection.send(new Message.Heartbeat(0, digest()));
  }

  /** Sends the digest to every peer at once, because a newer document is available here. */
  public void announce() {
    Message heartbeat = new Message.Heartbeat(0, digest());
    peers.keySet().forEach(connection -> connection.send(heartbeat));
  }

  /**
   * Processes the digest in a heartbeat of a peer.
   *
   * @param connection the connection
   * @param digest the hash
   */
  public void heartbeat(WireConnection connection, long digest) {
    sync.digestHashReceived(peer(connection), digest);
  }

  /**
   * Processes a message if it concerns documents.
   *
   * @param connection the connection
   * @param message any message
   */
  public void received(WireConnection connection, Message message) {
    switch (message) {
      case Message.DocumentPull pull -> connection.send(response(pull));
      case Message.DocumentDigest digest ->
          peer(connection).digestReceived(versions(digest.versions()));
      case Message.DocumentPush push ->
          peer(connection)
              .updateReceived(
                  new ServiceName(push.service()), DocumentCodec.decodeUpdate(push.content()));
      default -> {}
    }
  }

  /**
   * Removes a peer.
   *
   * @param connection the connection that was closed
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

  private Message response(Message.DocumentPull pull) {
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
