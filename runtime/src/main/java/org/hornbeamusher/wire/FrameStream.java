package org.hornbeamusher.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * Splits a byte stream into frames: a length of four bytes, then the content.
 *
 * <p>The length is checked before anything is allocated, so that a malicious or corrupt length
 * closes the sender's connection and allocates no memory here.
 */
public final class FrameStream {

  /** Longest frame: twice the largest request body, which leaves space for framing and headers. */
  public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  /** Size of the length prefix of a frame. */
  static final int LENGTH_BYTES = Integer.BYTES;

  private FrameStream() {}

  /**
   * Writes one frame without flushing.
   *
   * @param out the stream to write to
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
   * @param in the stream to read from
   * @return its content
   * @throws EOFException when the stream ends, inside a frame or before one
   * @throws IOException when the stream is broken
   * @throws HornbeamusherException of type {@code FRAME_TOO_LONG}
   */
  public static byte[] read(DataInputStream in) throws IOException {
    byte[] content = new byte[checkedLength(in.readInt())];
    in.readFully(content);
    return content;
  }

  /** Returns the length if a frame may have it, or else fails with {@code FRAME_TOO_LONG}. */
  static int checkedLength(int length) {
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw HornbeamusherException.notRun(
          FailureType.FRAME_TOO_LONG, Integer.toUnsignedLong(length), MAX_FRAME_BYTES);
    }
    return length;
  }
}
