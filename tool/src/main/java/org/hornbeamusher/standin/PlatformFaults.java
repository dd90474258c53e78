package org.hornbeamusher.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What is wrong with the platform; also its JSON form.
 *
 * @param refusing every call is answered 503
 * @param silent no call is answered, and no write takes effect
 * @param delayMillis how late an answer comes; 0 for at once
 * @param loseAnswers how many of the next transactions take effect without an answer
 */
public record PlatformFaults(
    boolean refusing,
    boolean silent,
    @JsonProperty("delay_millis") long delayMillis,
    @JsonProperty("lose_answers") int loseAnswers) {

  /** Nothing is wrong. */
  public static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0);

  /** Every call is answered 503. */
  public static final PlatformFaults REFUSING = new PlatformFaults(true, false, 0, 0);

  /** No call is answered. */
  public static final PlatformFaults SILENT = new PlatformFaults(false, true, 0, 0);

  /**
   * Answers come late.
   *
   * @param millis how late
   * @return the fault
   */
  public static PlatformFaults slow(long millis) {
    return new PlatformFaults(false, false, millis, 0);
  }

  /**
   * Transactions take effect without an answer.
   *
   * @param count how many of the next ones
   * @return the fault
   */
  public static PlatformFaults losing(int count) {
    return new PlatformFaults(false, false, 0, count);
  }

  PlatformFaults oneAnswerLost() {
    return new PlatformFaults(refusing, silent, delayMillis, loseAnswers - 1);
  }
}
