package org.hornbeamusher.http;

import java.nio.ByteBuffer;
import java.util.Optional;

/** The body of a response, delimited as its head states (RFC 9112, section 6.3). */
sealed interface ResponseBody {

  /** Stands for no body. */
  ResponseBody NONE = new FixedLength(0);

  /**
   * Finds what of the bytes that have arrived belongs to the body.
   *
   * @param bytes contain it
   * @param from its next byte
   * @param to the end of what has arrived
   * @return the number of bytes that belong to the body, up to the first that is not allowed
   */
  int accept(ByteBuffer bytes, int from, int to);

  /** Returns whether all of the body has arrived. */
  boolean isComplete();

  /** Returns why the rest of the body cannot be read. */
  default Optional<ResponseFault> fault() {
    return Optional.empty();
  }

  /** A body of a stated length. */
  final class FixedLength implements ResponseBody {

    private long left;

    FixedLength(long length) {
      left = length;
    }

    @Override
    public int accept(ByteBuffer bytes, int from, int to) {
      int count = (int) Math.min(left, to - from);
      left -= count;
      return count;
    }

    @Override
    public boolean isComplete() {
      return left == 0;
    }
  }

  /** A body that ends with its connection. */
  final class UntilClose implements ResponseBody {

    @Override
    public int accept(ByteBuffer bytes, int from, int to) {
      return to - from;
    }

    @Override
    public boolean isComplete() {
      return false;
    }
  }

  /** A body in chunks, with the trailer behind them (RFC 9112, section 7.1). */
  final class Chunked implements ResponseBody {

    private static final int HEXADECIMAL = 16;

    /** The size after another digit still has at most 63 bits. */
    private static final long MAX_EXTENSIBLE_SIZE = Long.MAX_VALUE / HEXADECIMAL;

    private final FieldLineParser trailer = new FieldLineParser(FieldLineParser.Receiver.NONE);
    private Position position = Position.SIZE_BEGIN;
    private long chunkBytes;

    /**
     * Whether the size of the chunk was ended by a line feed alone. Its data then ends so too: else
     * a size that is one too large would take the carriage return behind the data for a part of it.
     */
    private boolean lineFeedAlone;

    private Optional<ResponseFault> fault = Optional.empty();

    @Override
    public int accept(ByteBuffer bytes, int from, int to) {
      int behind = from;
      try {
        while (behind < to && !isComplete()) {
          if (position == Position.DATA) {
            behind += acceptData(to - behind);
          } else {
            acceptFraming(bytes.get(behind));
            behind++;
          }
        }
      } catch (MalformedResponseException e) {
        fault = Optional.of(e.fault());
      }
      return behind - from;
    }

    @Override
    public boolean isComplete() {
      return trailer.isComplete();
    }

    @Override
    public Optional<ResponseFault> fault() {
      return fault;
    }

    private int acceptData(int available) {
      int count = (int) Math.min(chunkBytes, available);
      chunkBytes -= count;
      position = chunkBytes == 0 ? Position.DATA_END : Position.DATA;
      return count;
    }

    private void acceptFraming(byte next) throws MalformedResponseException {
      switch (position) {
        case SIZE_BEGIN -> {
          addDigit(next);
          position = Position.SIZE;
        }
        case SIZE -> {
          if (isDigit(next)) {
            addDigit(next);
          } else {
            endSize(next);
          }
        }
        case SIZE_PADDING -> endSize(next);
        case EXTENSION -> acceptExtension(next);
        case SIZE_LINE_END -> {
          FieldLineParser.requireLineFeed(next);
          beginData(false);
        }
        case DATA_END -> endData(next);
        case DATA_LINE_END -> {
          FieldLineParser.requireLineFeed(next);
          position = Position.SIZE_BEGIN;
        }
        default -> trailer.add(next);
      }
    }

    private static boolean isDigit(byte next) {
      return Character.digit(next, HEXADECIMAL) >= 0;
    }

    private void addDigit(byte next) throws MalformedResponseException {
      if (!isDigit(next) || chunkBytes > MAX_EXTENSIBLE_SIZE) {
        throw new MalformedResponseException(ResponseFault.CHUNK_SIZE);
      }
      chunkBytes = chunkBytes * HEXADECIMAL + Character.digit(next, HEXADECIMAL);
    }

    /** Blanks behind the size are allowed: some servers write it with a fixed width. */
    private void endSize(byte next) throws MalformedResponseException {
      switch (next) {
        case '\r' -> position = Position.SIZE_LINE_END;
        case '\n' -> beginData(true);
        case ';' -> position = Position.EXTENSION;
        case ' ', '\t' -> position = Position.SIZE_PADDING;
        default -> throw new MalformedResponseException(ResponseFault.CHUNK_SIZE);
      }
    }

    private void acceptExtension(byte next) throws MalformedResponseException {
      if (next == '\r') {
        position = Position.SIZE_LINE_END;
      } else if (next == '\n') {
        beginData(true);
      } else if (!FieldLineParser.isText(next)) {
        throw new MalformedResponseException(ResponseFault.CHUNK_EXTENSION);
      }
    }

    private void beginData(boolean behindLineFeedAlone) {
      lineFeedAlone = behindLineFeedAlone;
      position = chunkBytes == 0 ? Position.TRAILER : Position.DATA;
    }

    private void endData(byte next) throws MalformedResponseException {
      if (next != (lineFeedAlone ? '\n' : '\r')) {
        throw new MalformedResponseException(ResponseFault.CHUNK_END);
      }
      position = lineFeedAlone ? Position.SIZE_BEGIN : Position.DATA_LINE_END;
    }

    /** Where the next byte belongs. */
    private enum Position {
      SIZE_BEGIN,
      SIZE,
      SIZE_PADDING,
      EXTENSION,
      SIZE_LINE_END,
      DATA,
      DATA_END,
      DATA_LINE_END,
      TRAILER
    }
  }
}
