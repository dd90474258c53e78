package org.hornbeamusher.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * Splits a byte stream into frames: four bytes of length, then the content.
 *
 * <p>A length is checked before anything is allocated, so that a hostile or garbled length costs
 * its sender the connection and this process nothing.
 */
public final class FrameStream {

  /** Longest frame: the largest request body, twice, for its framing and headers. */
  public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  /** The length that stands before a frame. */
  static final int LENGTH_BYTES = Integer.BYTES;

  private FrameStream() {}

  /**
   * Writes one frame without flushing.
   *
   * @param out where to
   * @param content the frame's content
   * @throws IOException when the stream is broken
   */
  public static void write(DataOutputStream out, byte[] content) throws IOException {
    out.writeInt(content.length);
    out.write(content);
  }

  /**
   * Reads one frame.
   *
   * @param in where from
   * @return its content
   * @throws EOFException when the stream ended, inside a frame or before one
   * @throws IOException when the stream is broken
   * @throws HornbeamusherException of type {@code FRAME_TOO_LONG}
   */
  public static byte[] read(DataInputStream in) throws IOException {
    byte[] content = new byte[checked(in.readInt())];
    in.readFully(content);
    return content;
  }

  /** Returns a frame's length; fails with {@code FRAME_TOO_LONG} if no frame may be so long. */
  static int checked(int length) {
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw HornbeamusherException.notRun(
          FailureType.FRAME_TOO_LONG, Integer.toUnsignedLong(length), MAX_FRAME_BYTES);
    }
    return length;
  }
}
