package org.hornbeamusher.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Removes copies of earlier responses in front of the response that is due.
 *
 * <p>A server may send a response once more, where the next one on the connection is due. The copy
 * names the request that it answered. The client library would take it for the response, and the
 * request would have to be given up although its own response follows.
 *
 * <p>The algorithm, for each response on a connection that has carried other requests:
 *
 * <ol>
 *   <li>read the whole head;
 *   <li>if it names a request that the connection carried earlier, skip its body and begin again;
 *   <li>pass on everything else: the own response, one without an id, one that names a request
 *       which the connection never carried, and one whose end cannot be recognised. The listener
 *       decides about them.
 * </ol>
 *
 * <p>Interim responses between a copy and the own response are skipped as well. {@link
 * ResponseByteLimit} bounds what is skipped or held.
 */
final class EarlierResponseFilter extends AbstractStreamSourceConduit<StreamSourceConduit> {

  private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
  private static final int MIN_BUFFER_BYTES = 4 * 1024;

  /** The maximum number of copies and interim responses; more would occupy the I/O thread. */
  private static final int MAX_SKIPPED_HEADS = 16;

  private final CarriedRequests carried;
  private final ResponseByteLimit limit;
  private Optional<EchoedId> expected = Optional.empty();
  private Position position = Position.OWN_RESPONSE;

  /** Bytes that were read and neither skipped nor passed on. */
  private byte[] held = new byte[0];

  private int heldFrom;
  private int heldTo;

  /** The body that is being skipped. */
  private SkippedBody body = SkippedBody.NONE;

  private int skipped;
  private int skippedHeads;
  private boolean outOfStep;

  EarlierResponseFilter(
      StreamSourceConduit next, CarriedRequests carried, ResponseByteLimit limit) {
    super(next);
    this.carried = carried;
    this.limit = limit;
  }

  /**
   * Called before a request is sent.
   *
   * @param id its id
   * @param first whether the connection has carried no other request
   */
  void awaitResponse(Optional<EchoedId> id, boolean first) {
    expected = id;
    skipped = 0;
    skippedHeads = 0;
    position = id.isEmpty() || first ? Position.OWN_RESPONSE : Position.HEAD;
  }

  /** Returns the number of responses skipped since the last request was sent. */
  int skipped() {
    return skipped;
  }

  /** Returns whether bytes have been read that belong to no response that was due. */
  boolean holdsBytes() {
    return heldFrom < heldTo;
  }

  /**
   * Returns whether the connection failed because something else than a response followed a copy.
   */
  boolean isOutOfStep() {
    return outOfStep;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    while (position != Position.OWN_RESPONSE) {
      int begin = target.position();
      int count = super.read(target);
      if (count == 0) {
        return 0;
      }
      if (count < 0) {
        position = Position.OWN_RESPONSE;
        break;
      }
      if (position == Position.HEAD && isFirstRead() && beginsOwnResponse(target, begin)) {
        position = Position.OWN_RESPONSE;
        return count;
      }
      hold(target, begin);
      skipEarlierResponses();
    }
    return holdsBytes() ? release(target) : super.read(target);
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    if (position == Position.OWN_RESPONSE && !holdsBytes()) {
      return super.read(targets, offset, length);
    }
    for (int i = offset; i < offset + length; i++) {
      if (targets[i].hasRemaining()) {
        return read(targets[i]);
      }
    }
    return 0;
  }

  private boolean isFirstRead() {
    return skipped == 0 && !holdsBytes();
  }

  /** Recognises nearly all responses without a copy of their bytes. */
  private boolean beginsOwnResponse(ByteBuffer target, int begin) {
    Optional<ResponseHead> head =
        ResponseHead.parse(target, begin, target.position(), expected.get().header());
    return head.isPresent() && !isSkipped(head.get());
  }

  private boolean isSkipped(ResponseHead head) {
    return head.isInterim()
        || (head.body().isPresent() && head.id().filter(this::isEarlier).isPresent());
  }

  private boolean isEarlier(String id) {
    return !id.equals(expected.get().value()) && carried.contains(id);
  }

  /** Takes back what was read into a buffer. */
  private void hold(ByteBuffer target, int begin) {
    int count = target.position() - begin;
    if (heldTo + count > held.length) {
      byte[] larger = new byte[Math.max(MIN_BUFFER_BYTES, 2 * (heldTo - heldFrom + count))];
      System.arraycopy(held, heldFrom, larger, 0, heldTo - heldFrom);
      heldTo -= heldFrom;
      heldFrom = 0;
      held = larger;
    }
    target.position(begin);
    target.get(held, heldTo, count);
    target.position(begin);
    heldTo += count;
  }

  private void skipEarlierResponses() throws IOException {
    boolean progress = true;
    while (progress && position != Position.OWN_RESPONSE) {
      progress = position == Position.HEAD ? readHead() : skipBody();
    }
  }

  /** Returns whether a whole head was held. */
  private boolean readHead() throws IOException {
    Optional<ResponseHead> head =
        ResponseHead.parse(ByteBuffer.wrap(held), heldFrom, heldTo, expected.get().header());
    boolean response = head.map(ResponseHead::hasStatusLine).orElseGet(this::mayBeginStatusLine);
    if (skipped > 0 && !response) {
      // The copy was shorter than it stated, so what follows it is not the begin of a response.
      outOfStep = true;
      throw new IOException("no status line after the copy of a response");
    }
    if (head.isEmpty()) {
      return false;
    }
    if (!isSkipped(head.get())) {
      position = Position.OWN_RESPONSE;
      return true;
    }
    skipped += head.get().isInterim() ? 0 : 1;
    body = head.get().isInterim() ? SkippedBody.NONE : head.get().body().orElseThrow();
    heldFrom = head.get().end();
    position = Position.EARLIER_BODY;
    return true;
  }

  /** Returns whether what is held begins like a status line, as far as it has arrived. */
  private boolean mayBeginStatusLine() {
    for (int i = 0; i < Math.min(VERSION.length, heldTo - heldFrom); i++) {
      if (held[heldFrom + i] != VERSION[i]) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether the body was held completely. */
  private boolean skipBody() throws IOException {
    heldFrom += body.skip(held, heldFrom, heldTo);
    if (!body.isComplete()) {
      return false;
    }
    skippedHeads++;
    if (skippedHeads > MAX_SKIPPED_HEADS) {
      throw new IOException("more than " + MAX_SKIPPED_HEADS + " responses were skipped");
    }
    limit.progressed();
    position = Position.HEAD;
    return true;
  }

  private int release(ByteBuffer target) {
    int count = Math.min(target.remaining(), heldTo - heldFrom);
    target.put(held, heldFrom, count);
    heldFrom += count;
    if (holdsBytes()) {
      // The socket may have nothing more to read, so nothing else would cause the next read.
      next.wakeupReads();
    } else {
      held = new byte[0];
      heldFrom = 0;
      heldTo = 0;
    }
    return count;
  }

  /** Where the next byte belongs. */
  private enum Position {
    HEAD,
    EARLIER_BODY,
    OWN_RESPONSE
  }
}
