package org.hornbeamusher.standin;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamusher.ids.AdapterRef;

/**
 * What an engine stand-in answers to a prompt.
 *
 * <p>The first token names the adapter and version that ran; every later one is a hash of adapter,
 * prompt and position. So an answer of a wrong adapter, of another request, with a token missing,
 * repeated or out of order differs from the expected text, and a checker needs no record of what
 * the engine did.
 */
public final class ExpectedAnswer {

  /** A prompt with this mark crashes the engine that runs it. */
  public static final String CRASH_MARK = "[crash]";

  private static final Pattern STOP_MARK = Pattern.compile("\\[stop (\\d{1,6})]");
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long GOLDEN = 0x9e3779b97f4a7c15L;
  private static final int TOKEN_MASK = 0xffffff;
  private static final int TOKEN_BASE = 0x1000000;

  private final AdapterRef adapter;
  private final long seed;
  private final int tokens;
  private final boolean stopped;

  /**
   * Computes an answer.
   *
   * @param adapter what runs
   * @param prompt the whole prompt; {@code [stop N]} in it ends the answer after N tokens
   * @param maxTokens most tokens of the answer
   */
  public ExpectedAnswer(AdapterRef adapter, String prompt, int maxTokens) {
    this.adapter = adapter;
    this.seed = hash(hash(FNV_OFFSET, adapter.toString()), prompt);
    Matcher stop = STOP_MARK.matcher(prompt);
    int wanted = stop.find() ? Integer.parseInt(stop.group(1)) : Integer.MAX_VALUE;
    this.tokens = Math.min(wanted, maxTokens);
    this.stopped = wanted <= maxTokens;
  }

  /**
   * Returns the number of tokens.
   *
   * @return tokens of the whole answer
   */
  public int tokens() {
    return tokens;
  }

  /**
   * Returns why the answer ends.
   *
   * @return {@code stop} or {@code length}
   */
  public String finishReason() {
    return stopped ? "stop" : "length";
  }

  /**
   * Returns one token.
   *
   * @param index its position, from 0
   * @return its text, ending in a space; needs no escaping in JSON
   */
  public String token(int index) {
    if (index == 0) {
      return adapter + " ";
    }
    long mixed = (seed + index) * GOLDEN;
    int word = (int) ((mixed ^ (mixed >>> 32)) & TOKEN_MASK) | TOKEN_BASE;
    return Integer.toHexString(word) + " ";
  }

  /**
   * Returns the whole answer.
   *
   * @return all tokens in order
   */
  public String text() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      text.append(token(i));
    }
    return text.toString();
  }

  private static long hash(long start, String text) {
    long hash = start;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }
}
