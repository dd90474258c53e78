package org.hornbeamusher.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Passes on the one response that is due on a connection, once its head is known to be valid.
 *
 * <p>The client library parses heads leniently: it ignores what it cannot interpret, and reports a
 * response whose body is not what the server sent. So nothing of a head reaches the library before
 * all of it was parsed here, and everything below the library relies on this parse alone.
 *
 * <p>The algorithm, for each response on the connection:
 *
 * <ol>
 *   <li>parse the head as it arrives, hold its bytes, and fail the connection at the first byte
 *       that is not allowed, see {@link ResponseHeadParser};
 *   <li>skip an interim response (RFC 9110, section 15.2), which the library would take for the
 *       final one, and begin again;
 *   <li>skip the copy of an earlier response, with its body, and begin again. A server may send a
 *       response once more, where the next one on the connection is due. The copy names the request
 *       that it answered, and the own response follows;
 *   <li>pass on every other response: the own one, one without an id, one that names a request
 *       which the connection never carried, and a copy that ends with the connection. The listener
 *       decides about them;
 *   <li>fail the connection where the chunks of a body are malformed, see {@link ResponseBody};
 *       what precedes that place is passed on, so that it does not depend on how the bytes arrive;
 *   <li>end the input behind the response. What follows it belongs to no request.
 * </ol>
 *
 * <p>{@link ResponseByteLimit} bounds what is skipped or held.
 */
final class ResponseReader extends AbstractStreamSourceConduit<StreamSourceConduit> {

  /**
   * The maximum number of lines of a head; usual ones have a few dozen. The client library creates
   * objects for each header, so that a longer head would occupy the I/O thread for tens of
   * milliseconds.
   */
  static final int MAX_LINES = 256;

  /** The maximum number of copies; more would occupy the I/O thread. */
  private static final int MAX_COPIES = 16;

  private static final int MIN_BUFFER_BYTES = 4 * 1024;
  private static final int END_OF_INPUT = -1;
  private static final String HEAD_METHOD = "HEAD";
  private static final byte[] NO_BYTES = {};

  private final CarriedRequests carried;
  private final ResponseByteLimit limit;
  private Optional<EchoedId> expected = Optional.empty();
  private boolean bodyExpected;

  /** Whether the connection has carried no other request, so that no copy can arrive. */
  private boolean first;

  private Position position = Position.END;

  /** The head that is being parsed; null in every other position. */
  private ResponseHeadParser head;

  /** The body that is being skipped or passed on. */
  private ResponseBody body = ResponseBody.NONE;

  /** Bytes of a head that has not arrived completely, or that were not passed on yet. */
  private byte[] held = NO_BYTES;

  private int heldFrom;
  private int heldTo;

  private int copies;
  private boolean skipsCopy;
  private boolean surplus;
  private boolean tooManyLines;
  private boolean outOfStep;
  private Optional<ResponseFault> fault = Optional.empty();

  ResponseReader(StreamSourceConduit next, CarriedRequests carried, ResponseByteLimit limit) {
    super(next);
    this.carried = carried;
    this.limit = limit;
  }

  /**
   * Called before a request is sent.
   *
   * @param method its method
   * @param id its id
   * @param firstRequest whether the connection has carried no other request
   */
  void awaitResponse(String method, Optional<EchoedId> id, boolean firstRequest) {
    expected = id;
    bodyExpected = !method.equals(HEAD_METHOD);
    first = firstRequest;
    copies = 0;
    beginHead();
  }

  /** Returns the number of copies skipped since the last request was sent. */
  int copies() {
    return copies;
  }

  /** Returns whether bytes have been read that belong to no response that was due. */
  boolean hasSurplus() {
    return surplus;
  }

  /** Returns whether the connection failed because a head has too many lines. */
  boolean hasTooManyLines() {
    return tooManyLines;
  }

  /**
   * Returns whether the connection failed because something else than a response followed a copy.
   */
  boolean isOutOfStep() {
    return outOfStep;
  }

  /** Returns why the connection failed, if a response was malformed. */
  Optional<ResponseFault> fault() {
    return fault;
  }

  /** Returns whether the response that is being passed on ends with its connection. */
  boolean endsWithConnection() {
    return body instanceof ResponseBody.UntilClose;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    if (isPassedOn() && holdsBytes()) {
      return release(target);
    }
    while (true) {
      if (position == Position.END && surplus) {
        return END_OF_INPUT;
      }
      requireNoFault();
      final int begin = target.position();
      int count = super.read(target);
      if (count <= 0) {
        return count;
      }
      int passedOn = position == Position.BODY ? passOn(target, begin) : parse(target, begin);
      if (passedOn > 0) {
        return passedOn;
      }
    }
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    for (int i = offset; i < offset + length; i++) {
      if (targets[i].hasRemaining()) {
        return read(targets[i]);
      }
    }
    return 0;
  }

  @Override
  public long transferTo(long from, long count, FileChannel target) throws IOException {
    return target.transferFrom(new ConduitReadableByteChannel(this), from, count);
  }

  @Override
  public long transferTo(long count, ByteBuffer through, StreamSinkChannel target)
      throws IOException {
    return Conduits.transfer(this, count, through, target);
  }

  /** Throws if a fault was found; what precedes it in a body was passed on. */
  private void requireNoFault() throws MalformedResponseException {
    if (fault.isEmpty()) {
      fault = body.fault();
    }
    if (fault.isPresent()) {
      throw new MalformedResponseException(fault.get());
    }
  }

  private boolean isPassedOn() {
    return position == Position.BODY || position == Position.END;
  }

  private boolean holdsBytes() {
    return heldFrom < heldTo;
  }

  private void beginHead() {
    position = Position.HEAD;
    head = new ResponseHeadParser(first ? Optional.empty() : expected.map(EchoedId::header));
  }

  /**
   * Parses what was read into a buffer from an index on.
   *
   * @return the number of bytes that are passed on, which stay in the buffer
   */
  private int parse(ByteBuffer target, int begin) throws IOException {
    final int end = target.position();
    int headBegin = begin;
    int behind = begin;
    while (behind < end && !isPassedOn()) {
      if (position == Position.HEAD) {
        behind = parseHead(target, behind, end);
      } else {
        behind += body.accept(target, behind, end);
        requireNoFault();
      }
      if (position == Position.SKIPPED_BODY) {
        discardHeld();
        headBegin = behind;
        endSkipped();
      }
    }
    if (position == Position.SKIPPED_BODY) {
      target.position(begin);
      return 0;
    }
    int passedOnEnd = isPassedOn() ? bodyEnd(target, behind, end) : end;
    if (isPassedOn() && headBegin == begin && !holdsBytes()) {
      // Nearly all responses are passed on without a copy of their bytes.
      target.position(passedOnEnd);
      return passedOnEnd - begin;
    }
    hold(target, headBegin, passedOnEnd);
    target.position(begin);
    return isPassedOn() ? release(target) : 0;
  }

  /** Parses a part of a head; returns the index behind it. */
  private int parseHead(ByteBuffer target, int from, int to) throws IOException {
    try {
      final int behind = head.parse(target, from, to);
      tooManyLines |= head.lines() > MAX_LINES;
      if (tooManyLines) {
        throw new IOException("no response within " + MAX_LINES + " lines");
      }
      if (head.isComplete()) {
        endHead(head.head());
      }
      return behind;
    } catch (MalformedResponseException e) {
      // A copy that was shorter than it stated has taken the begin of what follows it.
      outOfStep = copies > 0 && head.isInStatusLine();
      fault = Optional.of(e.fault());
      throw e;
    }
  }

  private void endHead(ResponseHead parsed) {
    head = null;
    body = parsed.body();
    skipsCopy = isCopy(parsed);
    copies += skipsCopy ? 1 : 0;
    position = skipsCopy || parsed.isInterim() ? Position.SKIPPED_BODY : Position.BODY;
    if (position == Position.BODY && !bodyExpected) {
      body = ResponseBody.NONE;
    }
  }

  private boolean isCopy(ResponseHead parsed) {
    return !parsed.isInterim()
        && !(parsed.body() instanceof ResponseBody.UntilClose)
        && parsed.id().filter(this::isEarlier).isPresent();
  }

  private boolean isEarlier(String id) {
    return !id.equals(expected.get().value()) && carried.contains(id);
  }

  /**
   * Begins the next head if the body that is skipped is complete. Interim responses are not
   * counted, so their bytes remain counted by the limit.
   */
  private void endSkipped() throws IOException {
    if (!body.isComplete()) {
      return;
    }
    if (copies > MAX_COPIES) {
      throw new IOException("more than " + MAX_COPIES + " responses were skipped");
    }
    if (skipsCopy) {
      limit.progressed();
    }
    beginHead();
  }

  /** Passes on a part of the body, which stays in the buffer; returns the number of its bytes. */
  private int passOn(ByteBuffer target, int begin) {
    int end = bodyEnd(target, begin, target.position());
    target.position(end);
    return end - begin;
  }

  /** Returns the index behind what belongs to the body. */
  private int bodyEnd(ByteBuffer target, int from, int to) {
    int end = from + body.accept(target, from, to);
    if (body.isComplete()) {
      position = Position.END;
      surplus |= end < to;
    }
    return end;
  }

  private void hold(ByteBuffer target, int from, int to) {
    int count = to - from;
    if (heldTo + count > held.length) {
      byte[] larger = new byte[Math.max(MIN_BUFFER_BYTES, 2 * (heldTo - heldFrom + count))];
      System.arraycopy(held, heldFrom, larger, 0, heldTo - heldFrom);
      heldTo -= heldFrom;
      heldFrom = 0;
      held = larger;
    }
    target.get(from, held, heldTo, count);
    heldTo += count;
  }

  private void discardHeld() {
    held = NO_BYTES;
    heldFrom = 0;
    heldTo = 0;
  }

  private int release(ByteBuffer target) {
    int count = Math.min(target.remaining(), heldTo - heldFrom);
    target.put(held, heldFrom, count);
    heldFrom += count;
    if (holdsBytes()) {
      // The socket may have nothing more to read, so nothing else would cause the next read.
      next.wakeupReads();
    } else {
      discardHeld();
    }
    return count;
  }

  /** Where the next byte of the connection belongs. */
  private enum Position {
    HEAD,
    SKIPPED_BODY,
    BODY,
    END
  }
}
