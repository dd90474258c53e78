package org.hornbeamusher.responses;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Reorders the numbered parts of one attempt's response and decides whether the response is
 * complete.
 *
 * <p>Parts are numbered from 0; a closing frame states their count and checksum. A part is
 * delivered exactly once, as soon as all earlier parts were delivered. The response is complete
 * only when the closing frame was received, all parts were delivered and the checksum over them
 * matches: a stream that ends without a closing frame is truncated, even if its text looks
 * complete. Example:
 *
 * <pre>
 * part 1 "b"    -> buffered
 * part 0 "a"    -> "a", "b"
 * part 1 "b"    -> ignored as a duplicate
 * closing 3     -> open: part 2 is missing
 * part 2 "c"    -> "c", complete
 * </pre>
 *
 * <p>Frames of other attempts are ignored: a retry has a new attempt number, and a late frame of
 * the first attempt must not end up in the response of the second. Parts that arrive out of order
 * are buffered up to a byte limit; a sender that exceeds it ignores its flow-control credit.
 *
 * <p>Not thread-safe.
 */
public final class ResponseAssembler {

  private static final ResponseState OPEN = new ResponseState.Open();
  private static final long NOT_STATED = -1;

  private final long attempt;
  private final long maxBufferedBytes;

  /** Parts that arrived out of order. Invariant: every key is greater than {@link #next}. */
  private final TreeMap<Long, byte[]> buffered = new TreeMap<>();

  private final CRC32C checksum = new CRC32C();

  /**
   * The number of the next part to deliver. Invariant: all lower numbers were delivered exactly
   * once.
   */
  private long next;

  private long bufferedBytes;
  private long statedCount = NOT_STATED;
  private long statedChecksum;
  private ResponseState state = OPEN;

  /**
   * Creates an assembler that has received no frames.
   *
   * @param attempt the attempt whose frames are accepted
   * @param maxBufferedBytes greatest number of bytes buffered for parts that arrive out of order
   */
  public ResponseAssembler(long attempt, long maxBufferedBytes) {
    this.attempt = attempt;
    this.maxBufferedBytes = maxBufferedBytes;
  }

  /**
   * Adds a received part.
   *
   * @param ofAttempt the attempt the frame names
   * @param sequence the part's number, from 0
   * @param bytes the part
   * @return the parts that can now be delivered, and the state
   */
  public AssemblyResult partReceived(long ofAttempt, long sequence, byte[] bytes) {
    if (ofAttempt != attempt || state.ended() || sequence < next) {
      return noParts();
    }
    if (statedCount != NOT_STATED && sequence >= statedCount) {
      return mismatch(ResponseState.MismatchReason.COUNT);
    }
    byte[] known = buffered.get(sequence);
    if (known != null) {
      return Arrays.equals(known, bytes)
          ? noParts()
          : mismatch(ResponseState.MismatchReason.CONTENT);
    }
    buffered.put(sequence, bytes);
    bufferedBytes += bytes.length;
    List<byte[]> ready = takeReady();
    if (bufferedBytes > maxBufferedBytes) {
      return mismatch(ResponseState.MismatchReason.OVERFLOW);
    }
    checkComplete();
    return new AssemblyResult(ready, state);
  }

  /**
   * Processes the closing frame.
   *
   * @param ofAttempt the attempt the frame names
   * @param count the number of parts
   * @param partsChecksum CRC-32C over all parts
   * @return no parts, and the state after the frame
   */
  public AssemblyResult closingReceived(long ofAttempt, long count, long partsChecksum) {
    if (ofAttempt != attempt || state.ended()) {
      return noParts();
    }
    boolean duplicate = statedCount == count && statedChecksum == partsChecksum;
    boolean contradicts = statedCount != NOT_STATED && !duplicate;
    if (contradicts || count < next || (!buffered.isEmpty() && buffered.lastKey() >= count)) {
      return mismatch(ResponseState.MismatchReason.COUNT);
    }
    statedCount = count;
    statedChecksum = partsChecksum;
    checkComplete();
    return noParts();
  }

  /**
   * Records that no more frames will arrive.
   *
   * @return the final state
   */
  public ResponseState connectionEnded() {
    if (!state.ended()) {
      state = new ResponseState.Truncated();
      buffered.clear();
    }
    return state;
  }

  /**
   * Returns the state of the response.
   *
   * @return the state after the latest frame
   */
  public ResponseState state() {
    return state;
  }

  private List<byte[]> takeReady() {
    List<byte[]> ready = new ArrayList<>();
    for (byte[] part = buffered.remove(next); part != null; part = buffered.remove(next)) {
      checksum.update(part);
      bufferedBytes -= part.length;
      ready.add(part);
      next++;
    }
    return ready;
  }

  private void checkComplete() {
    if (next == statedCount) {
      state =
          checksum.getValue() == statedChecksum
              ? new ResponseState.Complete()
              : new ResponseState.Mismatch(ResponseState.MismatchReason.CHECKSUM);
    }
  }

  private AssemblyResult mismatch(ResponseState.MismatchReason reason) {
    state = new ResponseState.Mismatch(reason);
    buffered.clear();
    return noParts();
  }

  private AssemblyResult noParts() {
    return new AssemblyResult(List.of(), state);
  }
}
