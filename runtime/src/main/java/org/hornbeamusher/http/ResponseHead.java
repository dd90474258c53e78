package org.hornbeamusher.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the head of a response tells about the place of the response on its connection.
 *
 * @param hasStatusLine whether it begins with a status line; otherwise nothing else is known
 * @param id the request that it names, if it names exactly one
 * @param isInterim whether another response to the same request follows it
 * @param body its body, to be skipped; empty if its end cannot be recognised
 * @param end the index behind the head
 */
record ResponseHead(
    boolean hasStatusLine,
    Optional<String> id,
    boolean isInterim,
    Optional<SkippedBody> body,
    int end) {

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] (\\d{3})( .*)?");
  private static final Pattern LENGTH = Pattern.compile("\\d{1,9}");
  private static final int MIN_FINAL_STATUS = 200;
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /**
   * Parses a head.
   *
   * @param bytes contain it
   * @param from where it begins
   * @param to the end of what has arrived
   * @param idHeader the header that names the request
   * @return empty if it has not arrived completely
   */
  static Optional<ResponseHead> parse(ByteBuffer bytes, int from, int to, String idHeader) {
    int end = end(bytes, from, to);
    if (end < 0) {
      return Optional.empty();
    }
    byte[] head = new byte[end - from];
    bytes.get(from, head);
    List<String> lines = new String(head, StandardCharsets.ISO_8859_1).lines().toList();
    Matcher status = STATUS_LINE.matcher(lines.isEmpty() ? "" : lines.get(0));
    if (!status.matches()) {
      return Optional.of(new ResponseHead(false, Optional.empty(), false, Optional.empty(), end));
    }
    int code = Integer.parseInt(status.group(1));
    boolean interim = code < MIN_FINAL_STATUS && code != SWITCHING_PROTOCOLS;
    return Optional.of(
        new ResponseHead(true, single(values(lines, idHeader)), interim, body(code, lines), end));
  }

  /** Returns the index behind the empty line that ends the head; -1 if it has not arrived. */
  private static int end(ByteBuffer bytes, int from, int to) {
    int lineBegin = from;
    for (int i = from; i < to; i++) {
      if (bytes.get(i) != '\n') {
        continue;
      }
      boolean empty = i == lineBegin || (i == lineBegin + 1 && bytes.get(lineBegin) == '\r');
      if (empty) {
        return i + 1;
      }
      lineBegin = i + 1;
    }
    return -1;
  }

  private static Optional<SkippedBody> body(int status, List<String> lines) {
    if (status == NO_CONTENT || status == NOT_MODIFIED) {
      return Optional.of(SkippedBody.NONE);
    }
    List<String> codings = values(lines, "transfer-encoding");
    if (!codings.isEmpty()) {
      return single(codings)
          .filter(coding -> coding.equalsIgnoreCase("chunked"))
          .map(coding -> new SkippedBody.Chunked());
    }
    return single(values(lines, "content-length"))
        .filter(length -> LENGTH.matcher(length).matches())
        .map(length -> new SkippedBody.FixedLength(Long.parseLong(length)));
  }

  private static List<String> values(List<String> lines, String name) {
    List<String> values = new ArrayList<>();
    for (String line : lines) {
      if (line.length() > name.length()
          && line.charAt(name.length()) == ':'
          && line.regionMatches(true, 0, name, 0, name.length())) {
        values.add(line.substring(name.length() + 1).trim());
      }
    }
    return values;
  }

  private static Optional<String> single(List<String> values) {
    return values.stream().distinct().count() == 1 ? Optional.of(values.get(0)) : Optional.empty();
  }
}
