package org.hornbeamusher.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The simulated faults of the platform; also their JSON form.
 *
 * @param refusing every call fails with status 503
 * @param silent no call gets a response, and no write takes effect
 * @param delayMillis delay of responses; 0 for none
 * @param loseAnswers number of next writes that take effect but get no response
 */
public record PlatformFaults(
    boolean refusing,
    boolean silent,
    @JsonProperty("delay_millis") long delayMillis,
    @JsonProperty("lose_answers") int loseAnswers) {

  /** No fault. */
  public static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0);

  /** Every call fails with status 503. */
  public static final PlatformFaults REFUSING = new PlatformFaults(true, false, 0, 0);

  /** No call gets a response. */
  public static final PlatformFaults SILENT = new PlatformFaults(false, true, 0, 0);

  /**
   * Returns the fault that responses are delayed.
   *
   * @param millis the delay
   * @return the fault
   */
  public static PlatformFaults slow(long millis) {
    return new PlatformFaults(false, false, millis, 0);
  }

  /**
   * Returns the fault that writes take effect but get no response.
   *
   * @param count number of next writes
   * @return the fault
   */
  public static PlatformFaults losingResponses(int count) {
    return new PlatformFaults(false, false, 0, count);
  }

  PlatformFaults withOneAnswerLost() {
    return new PlatformFaults(refusing, silent, delayMillis, loseAnswers - 1);
  }
}
