package org.hornbeamusher.http;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Parses one head of a response as it arrives, and fails at the first byte that RFC 9112 (sections
 * 4 to 6) does not allow there.
 *
 * <p>Where the RFC leaves a choice, what cannot be passed on without a change is an error: folded
 * lines, control characters in values, a length beside a transfer coding, transfer codings other
 * than {@code chunked}, and statuses that belong to no class. Line feeds without carriage returns
 * end a line, a length may be repeated, and later minor versions of HTTP/1 are read as HTTP/1.1.
 */
final class ResponseHeadParser implements FieldLineParser.Receiver {

  private static final String VERSION = "HTTP/1.";
  private static final int STATUS_BEGIN = VERSION.length() + 2;
  private static final int STATUS_DIGITS = 3;
  private static final int DECIMAL = 10;
  private static final char MAX_STATUS_CLASS = '5';

  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final long UNKNOWN_LENGTH = -1;

  private static final String CONTENT_LENGTH = "content-length";
  private static final String TRANSFER_ENCODING = "transfer-encoding";

  private final Optional<String> idHeader;
  private final FieldLineParser fields = new FieldLineParser(this);
  private Part part = Part.STATUS_LINE;
  private int lines;

  /** The number of bytes of the status line up to the reason phrase. */
  private int statusLineBytes;

  private byte minorVersion;
  private int status;
  private long length = UNKNOWN_LENGTH;
  private boolean chunked;
  private Optional<String> id = Optional.empty();
  private boolean differentIds;

  /**
   * Creates a parser of one head.
   *
   * @param idHeader the header that names the request; empty if the id is not needed
   */
  ResponseHeadParser(Optional<String> idHeader) {
    this.idHeader = idHeader;
  }

  /**
   * Parses what has arrived.
   *
   * @param bytes contain it
   * @param from the next byte of the head
   * @param to the end of what has arrived
   * @return the index behind the last byte that belongs to the head
   */
  int parse(ByteBuffer bytes, int from, int to) throws MalformedResponseException {
    int next = from;
    while (next < to && !isComplete()) {
      byte current = bytes.get(next++);
      lines += current == '\n' ? 1 : 0;
      add(current);
    }
    return next;
  }

  /** Returns whether the whole head was parsed. */
  boolean isComplete() {
    return fields.isComplete();
  }

  /** Returns whether the end of the status line was not parsed yet. */
  boolean isInStatusLine() {
    return part == Part.STATUS_LINE;
  }

  /** Returns the number of lines that were parsed. */
  int lines() {
    return lines;
  }

  /** Returns the parsed head, once it is complete. */
  ResponseHead head() throws MalformedResponseException {
    require(status != SWITCHING_PROTOCOLS, ResponseFault.UPGRADE);
    return new ResponseHead(status, differentIds ? Optional.empty() : id, body());
  }

  private void add(byte next) throws MalformedResponseException {
    switch (part) {
      case STATUS_LINE -> addToStatusLine(next);
      case REASON_PHRASE -> addToReasonPhrase(next);
      case STATUS_LINE_END -> {
        FieldLineParser.requireLineFeed(next);
        part = Part.FIELDS;
      }
      default -> fields.add(next);
    }
  }

  private void addToStatusLine(byte next) throws MalformedResponseException {
    int index = statusLineBytes++;
    if (index < VERSION.length()) {
      require(next == VERSION.charAt(index), ResponseFault.STATUS_LINE);
    } else if (index == VERSION.length()) {
      require(isDigit(next), ResponseFault.STATUS_LINE);
      minorVersion = next;
    } else if (index < STATUS_BEGIN) {
      require(next == ' ', ResponseFault.STATUS_LINE);
    } else if (index < STATUS_BEGIN + STATUS_DIGITS) {
      addToStatus(next, index == STATUS_BEGIN);
    } else {
      require(!isDigit(next), ResponseFault.STATUS);
      require(next == ' ', ResponseFault.STATUS_LINE);
      part = Part.REASON_PHRASE;
    }
  }

  private void addToStatus(byte next, boolean first) throws MalformedResponseException {
    require(isDigit(next), ResponseFault.STATUS_LINE);
    require(!first || (next > '0' && next <= MAX_STATUS_CLASS), ResponseFault.STATUS);
    status = status * DECIMAL + next - '0';
  }

  private void addToReasonPhrase(byte next) throws MalformedResponseException {
    if (next == '\r') {
      part = Part.STATUS_LINE_END;
    } else if (next == '\n') {
      part = Part.FIELDS;
    } else {
      require(FieldLineParser.isText(next), ResponseFault.REASON_PHRASE);
    }
  }

  @Override
  public boolean needs(CharSequence name) {
    return isName(name, CONTENT_LENGTH)
        || isName(name, TRANSFER_ENCODING)
        || (idHeader.isPresent() && isName(name, idHeader.get()));
  }

  private static boolean isName(CharSequence name, String expected) {
    return name.length() == expected.length() && expected.equalsIgnoreCase(name.toString());
  }

  @Override
  public void field(String name, String value) throws MalformedResponseException {
    if (name.equalsIgnoreCase(CONTENT_LENGTH)) {
      addLength(parseLength(value));
    } else if (name.equalsIgnoreCase(TRANSFER_ENCODING)) {
      // Coded twice, or in HTTP/1.0, the body cannot be delimited (RFC 9112, section 6.1).
      boolean valid = value.equalsIgnoreCase("chunked") && !chunked && minorVersion != '0';
      require(valid, ResponseFault.TRANSFER_CODING);
      chunked = true;
    } else {
      differentIds |= id.isPresent() && !id.get().equals(value);
      id = Optional.of(value);
    }
  }

  private void addLength(long stated) throws MalformedResponseException {
    require(length == UNKNOWN_LENGTH || length == stated, ResponseFault.CONTENT_LENGTHS);
    length = stated;
  }

  private static long parseLength(String value) throws MalformedResponseException {
    require(
        !value.isEmpty() && value.chars().allMatch(ResponseHeadParser::isDigit),
        ResponseFault.CONTENT_LENGTH);
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      // More than 63 bits.
      throw new MalformedResponseException(ResponseFault.CONTENT_LENGTH);
    }
  }

  private static boolean isDigit(int character) {
    return character >= '0' && character <= '9';
  }

  private static void require(boolean valid, ResponseFault fault)
      throws MalformedResponseException {
    if (!valid) {
      throw new MalformedResponseException(fault);
    }
  }

  /**
   * Returns the body. A response with status 304 may state the length of the body that it does not
   * have; it is an error too, because the client library would wait for that body.
   */
  private ResponseBody body() throws MalformedResponseException {
    require(!chunked || length == UNKNOWN_LENGTH, ResponseFault.LENGTH_AND_CODING);
    if (status < ResponseHead.MIN_FINAL_STATUS || status == NO_CONTENT || status == NOT_MODIFIED) {
      require(!chunked && length <= 0, ResponseFault.UNEXPECTED_BODY);
      return ResponseBody.NONE;
    }
    if (chunked) {
      return new ResponseBody.Chunked();
    }
    return length == UNKNOWN_LENGTH
        ? new ResponseBody.UntilClose()
        : new ResponseBody.FixedLength(length);
  }

  /** The part of the head to which the next byte belongs. */
  private enum Part {
    STATUS_LINE,
    REASON_PHRASE,
    STATUS_LINE_END,
    FIELDS
  }
}
