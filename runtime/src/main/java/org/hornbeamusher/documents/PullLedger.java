package org.hornbeamusher.documents;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.ids.ServiceName;

/**
 * Decides whether to pull from a peer, so that one change is pulled once and not from every peer.
 *
 * <p>At the planned size, an entry receives the same new digest from about 90 agents within a
 * second. Without this class it would pull the same document from each of them. A pull without a
 * response within {@link #PULL_TIMEOUT_MILLIS} counts as failed, because a connection may stop
 * delivering for good; the next heartbeat of any peer then starts another pull. On a slow link a
 * large document takes longer than that, and a second copy would compete with the first for
 * bandwidth; therefore a pull does not count as failed while a response of the peer is arriving.
 *
 * <p>Not thread-safe.
 */
final class PullLedger {

  /** Longer than a round trip between regions; shorter than the 7 s within which changes spread. */
  static final long PULL_TIMEOUT_MILLIS = 1_500;

  private final Map<ServiceName, PendingPull> pendingPulls = new HashMap<>();
  private final Map<DocumentPeer, HashPair> hashesWithNothingNewer = new HashMap<>();
  private final Map<DocumentPeer, Long> digestRequestTimes = new HashMap<>();

  private record HashPair(long peerHash, long ownHash) {}

  private record PendingPull(DocumentPeer peer, long sinceMillis) {}

  /** Decides whether to request a peer's digest after a heartbeat with the given hash. */
  boolean tryBeginDigest(DocumentPeer peer, long peerHash, long ownHash, long now) {
    HashPair hashes = new HashPair(peerHash, ownHash);
    boolean known = peerHash == ownHash || hashes.equals(hashesWithNothingNewer.get(peer));
    if (known || notTimedOut(digestRequestTimes.get(peer), now)) {
      return false;
    }
    digestRequestTimes.put(peer, now);
    return true;
  }

  /** Records that a peer has no newer version, until one of the hashes changes. */
  void nothingNewer(DocumentPeer peer, long peerHash, long ownHash) {
    hashesWithNothingNewer.put(peer, new HashPair(peerHash, ownHash));
  }

  void digestEnded(DocumentPeer peer) {
    digestRequestTimes.remove(peer);
  }

  /** Decides whether to pull a document from a peer now. */
  boolean tryBeginPull(ServiceName service, DocumentPeer peer, long now) {
    PendingPull pending = pendingPulls.get(service);
    if (pending != null
        && (notTimedOut(pending.sinceMillis(), now) || pending.peer().receivingLargeMessage())) {
      return false;
    }
    pendingPulls.put(service, new PendingPull(peer, now));
    return true;
  }

  void pullEnded(ServiceName service) {
    pendingPulls.remove(service);
  }

  void removePeer(DocumentPeer peer) {
    hashesWithNothingNewer.remove(peer);
    digestRequestTimes.remove(peer);
  }

  private static boolean notTimedOut(Long since, long now) {
    return since != null && now - since < PULL_TIMEOUT_MILLIS && now >= since;
  }
}
