package org.hornbeamusher.standin;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamusher.ids.AdapterRef;

/**
 * The response of an engine stand-in to a prompt, computed from adapter and prompt alone.
 *
 * <p>The first token is the adapter and version that ran; each later token is a hash of adapter,
 * prompt and position. A response from the wrong adapter, to another request, or with a token
 * missing, duplicated or out of order therefore differs from the expected text, and a checker needs
 * no record of what the engine did.
 */
public final class ExpectedResponse {

  /** A prompt that contains this mark crashes the engine that runs it. */
  public static final String CRASH_MARK = "[crash]";

  private static final Pattern STOP_MARK = Pattern.compile("\\[stop (\\d{1,6})]");
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;
  private static final int TOKEN_MASK = 0xffffff;
  private static final int TOKEN_BASE = 0x1000000;

  private final AdapterRef adapter;
  private final long seed;
  private final int tokenCount;
  private final boolean stopped;

  /**
   * Computes a response.
   *
   * @param adapter the adapter that runs
   * @param prompt the complete prompt; {@code [stop N]} in it ends the response after N tokens
   * @param maxTokens maximum number of tokens
   */
  public ExpectedResponse(AdapterRef adapter, String prompt, int maxTokens) {
    this.adapter = adapter;
    this.seed = hash(hash(FNV_OFFSET, adapter.toString()), prompt);
    Matcher stop = STOP_MARK.matcher(prompt);
    int stopCount = stop.find() ? Integer.parseInt(stop.group(1)) : Integer.MAX_VALUE;
    this.tokenCount = Math.min(stopCount, maxTokens);
    this.stopped = stopCount <= maxTokens;
  }

  /**
   * Returns the number of tokens.
   *
   * @return tokens of the complete response
   */
  public int tokenCount() {
    return tokenCount;
  }

  /**
   * Returns the reason why the response ends.
   *
   * @return {@code stop} or {@code length}
   */
  public String finishReason() {
    return stopped ? "stop" : "length";
  }

  /**
   * Returns one token.
   *
   * @param index position of the token, from 0
   * @return its text, ending in a space; needs no escaping in JSON
   */
  public String token(int index) {
    if (index == 0) {
      return adapter + " ";
    }
    long mixed = (seed + index) * GOLDEN_RATIO;
    int word = (int) ((mixed ^ (mixed >>> 32)) & TOKEN_MASK) | TOKEN_BASE;
    return Integer.toHexString(word) + " ";
  }

  /**
   * Returns the text of the complete response.
   *
   * @return all tokens in order, concatenated
   */
  public String text() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < tokenCount; i++) {
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
