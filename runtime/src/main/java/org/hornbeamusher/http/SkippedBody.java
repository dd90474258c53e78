package org.hornbeamusher.http;

/** The body of a response that is skipped. */
sealed interface SkippedBody {

  /** Stands for no body. */
  SkippedBody NONE = new FixedLength(0);

  /**
   * Skips what has arrived of the body.
   *
   * @param bytes contain it
   * @param from its next byte
   * @param to the end of what has arrived
   * @return the number of bytes that belong to the body
   */
  int skip(byte[] bytes, int from, int to);

  /** Returns whether all of the body was skipped. */
  boolean isComplete();

  /** A body of a stated length. */
  final class FixedLength implements SkippedBody {

    private long left;

    FixedLength(long length) {
      left = length;
    }

    @Override
    public int skip(byte[] bytes, int from, int to) {
      int count = (int) Math.min(left, to - from);
      left -= count;
      return count;
    }

    @Override
    public boolean isComplete() {
      return left == 0;
    }
  }

  /** A body in chunks (RFC 9112, section 7.1). */
  final class Chunked implements SkippedBody {

    private static final int HEXADECIMAL = 16;

    /** A larger chunk exceeds {@link ResponseByteLimit} in any case. */
    private static final long MAX_CHUNK_BYTES = Integer.MAX_VALUE;

    private Position position = Position.SIZE;
    private long chunkBytes;

    /** Whether nothing but a line end has been read of the current line of the trailer. */
    private boolean lineEmpty = true;

    @Override
    public int skip(byte[] bytes, int from, int to) {
      int next = from;
      while (next < to && position != Position.END) {
        if (position == Position.DATA) {
          int count = (int) Math.min(chunkBytes, to - next);
          chunkBytes -= count;
          next += count;
          position = chunkBytes == 0 ? Position.DATA_END : Position.DATA;
        } else {
          skipByte(bytes[next++]);
        }
      }
      return next - from;
    }

    private void skipByte(byte next) {
      boolean lineEnd = next == '\n';
      switch (position) {
        case SIZE, EXTENSION -> {
          if (lineEnd) {
            position = chunkBytes == 0 ? Position.TRAILER : Position.DATA;
          } else if (position == Position.SIZE) {
            readSize(next);
          }
        }
        case DATA_END -> {
          if (lineEnd) {
            position = Position.SIZE;
          }
        }
        default -> {
          if (lineEnd && lineEmpty) {
            position = Position.END;
          }
          lineEmpty = lineEnd || (lineEmpty && next == '\r');
        }
      }
    }

    private void readSize(byte next) {
      int digit = Character.digit(next, HEXADECIMAL);
      if (digit < 0) {
        position = Position.EXTENSION;
      } else {
        chunkBytes = Math.min(MAX_CHUNK_BYTES, chunkBytes * HEXADECIMAL + digit);
      }
    }

    @Override
    public boolean isComplete() {
      return position == Position.END;
    }

    private enum Position {
      SIZE,
      EXTENSION,
      DATA,
      DATA_END,
      TRAILER,
      END
    }
  }
}
