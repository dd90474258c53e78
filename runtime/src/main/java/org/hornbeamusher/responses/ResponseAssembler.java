package org.hornbeamusher.responses;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Puts the parts of one attempt's answer in order and decides whether the answer is whole.
 *
 * <p>Parts are numbered from 0; a closing frame states their count and checksum. A part is handed
 * on as soon as every earlier one was, and once only. The answer is whole only when the closing
 * frame has come, all parts were handed on and the checksum over them agrees: a stream that merely
 * stops is cut, however complete it looks. Example:
 *
 * <pre>
 * part 1 "b"    -> nothing yet
 * part 0 "a"    -> "a", "b"
 * part 1 "b"    -> nothing, it was handed on before
 * closing 3     -> open: part 2 is missing
 * part 2 "c"    -> "c", whole
 * </pre>
 *
 * <p>Frames of another attempt are ignored: a repeated request has a new attempt number, and a
 * frame of the first try that arrives late must not end up in the second one's answer. Parts that
 * came too early are kept up to a bound of bytes; more than that means that the sender ignores its
 * credit.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class ResponseAssembler {

  private static final ResponseState OPEN = new ResponseState.Open();
  private static final long NO_CLOSING = -1;

  private final long attempt;
  private final long maximumKeptBytes;

  /** Parts that came too early. Invariant: every key is greater than {@link #next}. */
  private final TreeMap<Long, byte[]> early = new TreeMap<>();

  private final CRC32C checksum = new CRC32C();

  /** The part to hand on next. Invariant: all earlier ones were, once. */
  private long next;

  private long keptBytes;
  private long statedCount = NO_CLOSING;
  private long statedChecksum;
  private ResponseState state = OPEN;

  /**
   * Creates an assembler that has received nothing.
   *
   * @param attempt the attempt whose frames count
   * @param maximumKeptBytes most bytes kept for parts that came too early
   */
  public ResponseAssembler(long attempt, long maximumKeptBytes) {
    this.attempt = attempt;
    this.maximumKeptBytes = maximumKeptBytes;
  }

  /**
   * Takes in a part.
   *
   * @param ofAttempt the attempt the frame names
   * @param sequence the part's number, from 0
   * @param bytes the part
   * @return what may be handed on
   */
  public AssemblyResult partReceived(long ofAttempt, long sequence, byte[] bytes) {
    if (ofAttempt != attempt || state.ended() || sequence < next) {
      return nothing();
    }
    if (statedCount != NO_CLOSING && sequence >= statedCount) {
      return end(ResponseState.MismatchReason.COUNT);
    }
    byte[] known = early.get(sequence);
    if (known != null) {
      return Arrays.equals(known, bytes) ? nothing() : end(ResponseState.MismatchReason.CONTENT);
    }
    early.put(sequence, bytes);
    keptBytes += bytes.length;
    List<byte[]> ready = takeReady();
    if (keptBytes > maximumKeptBytes) {
      return end(ResponseState.MismatchReason.OVERFLOW);
    }
    settle();
    return new AssemblyResult(ready, state);
  }

  /**
   * Takes in the closing frame.
   *
   * @param ofAttempt the attempt the frame names
   * @param count how many parts there are
   * @param partsChecksum CRC-32C over all parts
   * @return no parts, and whether the answer is whole
   */
  public AssemblyResult closingReceived(long ofAttempt, long count, long partsChecksum) {
    if (ofAttempt != attempt || state.ended()) {
      return nothing();
    }
    boolean repeated = statedCount == count && statedChecksum == partsChecksum;
    boolean contradicts = statedCount != NO_CLOSING && !repeated;
    if (contradicts || count < next || (!early.isEmpty() && early.lastKey() >= count)) {
      return end(ResponseState.MismatchReason.COUNT);
    }
    statedCount = count;
    statedChecksum = partsChecksum;
    settle();
    return nothing();
  }

  /**
   * Records that no more frames will come.
   *
   * @return the final state
   */
  public ResponseState connectionEnded() {
    if (!state.ended()) {
      state = new ResponseState.Truncated();
      early.clear();
    }
    return state;
  }

  /**
   * Returns what is known.
   *
   * @return the state after the latest frame
   */
  public ResponseState state() {
    return state;
  }

  private List<byte[]> takeReady() {
    List<byte[]> ready = new ArrayList<>();
    for (byte[] part = early.remove(next); part != null; part = early.remove(next)) {
      checksum.update(part);
      keptBytes -= part.length;
      ready.add(part);
      next++;
    }
    return ready;
  }

  private void settle() {
    if (next == statedCount) {
      state =
          checksum.getValue() == statedChecksum
              ? new ResponseState.Complete()
              : new ResponseState.Mismatch(ResponseState.MismatchReason.CHECKSUM);
    }
  }

  private AssemblyResult end(ResponseState.MismatchReason reason) {
    state = new ResponseState.Mismatch(reason);
    early.clear();
    return nothing();
  }

  private AssemblyResult nothing() {
    return new AssemblyResult(List.of(), state);
  }
}
