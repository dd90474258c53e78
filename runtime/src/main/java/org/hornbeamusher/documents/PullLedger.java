package org.hornbeamusher.documents;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.ids.ServiceName;

/**
 * Decides whether to ask a peer, so that one change is pulled once and not from every peer.
 *
 * <p>An entry at size hears the same new digest from some 90 agents within a second. Without this,
 * it would pull the same document from each of them. A pull that is not answered within {@link
 * #PATIENCE_MILLIS} counts as failed, because a connection may go silent for good; then the next
 * heartbeat of any peer starts another one. A large document takes longer on a thin link, and a
 * second copy of it would take the link from the first: while an answer of the peer is arriving,
 * its pull has not failed.
 *
 * <p>Not safe for use by several threads at once.
 */
final class PullLedger {

  /** Longer than a round trip between regions and shorter than the 7 s in which changes spread. */
  static final long PATIENCE_MILLIS = 1_500;

  private final Map<ServiceName, Pull> pulling = new HashMap<>();
  private final Map<DocumentPeer, Compared> compared = new HashMap<>();
  private final Map<DocumentPeer, Long> asking = new HashMap<>();

  private record Compared(long peerHash, long ownHash) {}

  private record Pull(DocumentPeer peer, long sinceMillis) {}

  /** Tells whether a heartbeat's hash is worth asking that peer for its digest. */
  boolean beginDigest(DocumentPeer peer, long peerHash, long ownHash, long now) {
    Compared hashes = new Compared(peerHash, ownHash);
    boolean known = peerHash == ownHash || hashes.equals(compared.get(peer));
    if (known || waiting(asking.get(peer), now)) {
      return false;
    }
    asking.put(peer, now);
    return true;
  }

  /** Records that a peer holds nothing newer, until one of the hashes changes. */
  void nothingNewer(DocumentPeer peer, long peerHash, long ownHash) {
    compared.put(peer, new Compared(peerHash, ownHash));
  }

  void digestEnded(DocumentPeer peer) {
    asking.remove(peer);
  }

  /** Decides whether to pull a document from a peer now. */
  boolean beginPull(ServiceName service, DocumentPeer peer, long now) {
    Pull under = pulling.get(service);
    if (under != null && (waiting(under.sinceMillis(), now) || under.peer().receiving())) {
      return false;
    }
    pulling.put(service, new Pull(peer, now));
    return true;
  }

  void pullEnded(ServiceName service) {
    pulling.remove(service);
  }

  void forget(DocumentPeer peer) {
    compared.remove(peer);
    asking.remove(peer);
  }

  private static boolean waiting(Long since, long now) {
    return since != null && now - since < PATIENCE_MILLIS && now >= since;
  }
}
