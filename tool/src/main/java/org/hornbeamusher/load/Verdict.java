package org.hornbeamusher.load;

/** What a caller got for one request. */
sealed interface Verdict {

  /**
   * The whole answer to its own request.
   *
   * @param tokens its length
   */
  record Answered(int tokens) implements Verdict {}

  /**
   * A failure with a type and the promise that the request was not run.
   *
   * @param type the type's name
   */
  record Refused(String type) implements Verdict {}

  /**
   * A failure with a type, of a request that ran or may have run.
   *
   * @param type the type's name
   */
  record Failed(String type) implements Verdict {}

  /**
   * An answer that looks whole and is not the right one.
   *
   * @param why what differs
   */
  record Wrong(String why) implements Verdict {}

  /**
   * Nothing a caller could rely on: no answer, a cut one, an untyped error.
   *
   * @param why what is missing
   */
  record Lost(String why) implements Verdict {}
}
