package org.hornbeamusher.http;

/**
 * Parses the header lines of a head or of a trailer as they arrive, up to the empty line behind
 * them (RFC 9112, section 5).
 *
 * <p>A line that is not a header is an error and never skipped: what one reader skips, another one
 * may take for the length of the body.
 */
final class FieldLineParser {

  /** Receives the headers whose values are needed. */
  interface Receiver {

    /** Returns whether the value of a header is needed. */
    boolean needs(CharSequence name);

    /** Called for each header whose value is needed; the value has no surrounding blanks. */
    void field(String name, String value) throws MalformedResponseException;

    /** Needs no header. */
    Receiver NONE =
        new Receiver() {
          @Override
          public boolean needs(CharSequence name) {
            return false;
          }

          @Override
          public void field(String name, String value) {}
        };
  }

  /** The characters of a token besides letters and digits (RFC 9110, section 5.6.2). */
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  /** Longer names are never needed, so their rest is not stored. */
  private static final int MAX_STORED_NAME = 256;

  private static final int FIRST_PRINTABLE = ' ';
  private static final int DELETE = 0x7f;

  private final Receiver receiver;
  private final StringBuilder name = new StringBuilder();
  private final StringBuilder value = new StringBuilder();
  private boolean valueNeeded;
  private Position position = Position.LINE_BEGIN;

  FieldLineParser(Receiver receiver) {
    this.receiver = receiver;
  }

  /** Returns whether the empty line has been parsed. */
  boolean isComplete() {
    return position == Position.COMPLETE;
  }

  /** Parses the next byte. */
  void add(byte next) throws MalformedResponseException {
    switch (position) {
      case LINE_BEGIN -> beginLine(next);
      case NAME -> addToName(next);
      case VALUE -> addToValue(next);
      case LINE_END -> {
        requireLineFeed(next);
        endLine();
      }
      case SECTION_END -> {
        requireLineFeed(next);
        position = Position.COMPLETE;
      }
      default -> throw new AssertionError("the empty line has been parsed");
    }
  }

  /** Throws if the byte behind a carriage return is not a line feed. */
  static void requireLineFeed(byte next) throws MalformedResponseException {
    if (next != '\n') {
      throw new MalformedResponseException(ResponseFault.CARRIAGE_RETURN);
    }
  }

  /** Returns whether a byte is allowed in a value or a reason phrase. */
  static boolean isText(byte next) {
    int character = Byte.toUnsignedInt(next);
    return next == '\t' || (character >= FIRST_PRINTABLE && character != DELETE);
  }

  private void beginLine(byte next) throws MalformedResponseException {
    switch (next) {
      case '\r' -> position = Position.SECTION_END;
      case '\n' -> position = Position.COMPLETE;
      case ' ', '\t' -> throw new MalformedResponseException(ResponseFault.FOLDED_LINE);
      default -> {
        name.setLength(0);
        position = Position.NAME;
        addToName(next);
      }
    }
  }

  private void addToName(byte next) throws MalformedResponseException {
    if (next == ':' && !name.isEmpty()) {
      valueNeeded = receiver.needs(name);
      value.setLength(0);
      position = Position.VALUE;
      return;
    }
    if (!isTokenCharacter(next)) {
      throw new MalformedResponseException(ResponseFault.FIELD_NAME);
    }
    if (name.length() < MAX_STORED_NAME) {
      name.append((char) next);
    }
  }

  private static boolean isTokenCharacter(byte next) {
    return (next >= 'a' && next <= 'z')
        || (next >= 'A' && next <= 'Z')
        || (next >= '0' && next <= '9')
        || TOKEN_SYMBOLS.indexOf(next) >= 0;
  }

  private void addToValue(byte next) throws MalformedResponseException {
    if (next == '\r') {
      position = Position.LINE_END;
    } else if (next == '\n') {
      endLine();
    } else if (!isText(next)) {
      throw new MalformedResponseException(ResponseFault.FIELD_VALUE);
    } else if (valueNeeded) {
      value.append((char) Byte.toUnsignedInt(next));
    }
  }

  private void endLine() throws MalformedResponseException {
    position = Position.LINE_BEGIN;
    if (valueNeeded) {
      receiver.field(name.toString(), value.toString().trim());
    }
  }

  /** Where the next byte belongs. */
  private enum Position {
    LINE_BEGIN,
    NAME,
    VALUE,
    LINE_END,
    SECTION_END,
    COMPLETE
  }
}
