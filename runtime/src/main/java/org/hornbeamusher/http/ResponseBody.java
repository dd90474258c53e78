package org.hornbeamusher.http;

import java.nio.ByteBuffer;

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
   * @return the number of bytes that belong to the body
   */
  int accept(ByteBuffer bytes, int from, int to);

  /** Returns whether all of the body has arrived. */
  boolean isComplete();

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

  /** A body in chunks (RFC 9112, section 7.1). */
  final class Chunked implements ResponseBody {

    private static final int HEXADECIMAL = 16;

    /** No server sends so much; a larger size cannot be represented. */
    private static final long MAX_CHUNK_BYTES = Long.MAX_VALUE / (2 * HEXADECIMAL);

    private Position position = Position.SIZE;
    private long chunkBytes;

    /** Whether nothing but a line end has been read of the current line of the trailer. */
    private boolean lineEmpty = true;

    @Override
    public int accept(ByteBuffer bytes, int from, int to) {
      int next = from;
      while (next < to && position != Position.END) {
        if (position == Position.DATA) {
          int count = (int) Math.min(chunkBytes, to - next);
          chunkBytes -= count;
          next += count;
          position = chunkBytes == 0 ? Position.DATA_END : Position.DATA;
        } else {
          accept(bytes.get(next++));
        }
      }
      return next - from;
    }

    private void accept(byte next) {
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
