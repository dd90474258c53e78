package org.hornbeamusher.load;

/** The outcome of one request as its caller sees it. */
sealed interface Verdict {

  /**
   * The complete and correct response.
   *
   * @param tokens number of tokens of the response
   */
  record Answered(int tokens) implements Verdict {}

  /**
   * A failure that states a type and that the request was not run.
   *
   * @param type the name of the failure type
   */
  record Refused(String type) implements Verdict {}

  /**
   * A failure that states a type, of a request that ran or may have run.
   *
   * @param type the name of the failure type
   */
  record Failed(String type) implements Verdict {}

  /**
   * A response that looks complete but is not the correct one.
   *
   * @param reason what differs
   */
  record Wrong(String reason) implements Verdict {}

  /**
   * Nothing that a caller can rely on: no response, a truncated one, or an error without a type.
   *
   * @param reason what is missing
   */
  record Lost(String reason) implements Verdict {}
}
