package org.hornbeamusher.wire;

import java.nio.ByteBuffer;

/**
 * A growing buffer of frames that are read from or written to a connection in segments of any size.
 *
 * <p>It starts small and grows with its content, because nearly every frame is short and an entry
 * has a connection to each of a thousand agents.
 */
final class FrameBuffer {

  private static final int INITIAL_BYTES = 512;

  /** Between calls, the content lies between the position and the limit. */
  private ByteBuffer bytes = ByteBuffer.allocate(INITIAL_BYTES).flip();

  /** Returns the number of bytes in the buffer. */
  int length() {
    return bytes.remaining();
  }

  /** Appends a frame. */
  void putFrame(byte[] content) {
    ByteBuffer target = beginWrite(FrameStream.LENGTH_BYTES + content.length);
    target.putInt(content.length).put(content).flip();
  }

  /**
   * Returns the buffer with space for at least so many more bytes; {@link #endWrite} must follow.
   */
  ByteBuffer beginWrite(int additionalBytes) {
    int needed = bytes.remaining() + additionalBytes;
    if (bytes.capacity() < needed) {
      bytes = ByteBuffer.allocate(Math.max(needed, 2 * bytes.capacity())).put(bytes);
    } else {
      bytes.compact();
    }
    return bytes;
  }

  /** Makes the written bytes part of the content. */
  void endWrite() {
    bytes.flip();
  }

  /** Returns the content for reading; {@link #endRead} must follow. */
  ByteBuffer beginRead() {
    return bytes;
  }

  /** Discards the bytes that were read. */
  void endRead() {
    bytes.compact().flip();
  }

  /**
   * Removes the next frame.
   *
   * @return its content, or null while it is incomplete
   */
  byte[] takeFrame() {
    if (bytes.remaining() < FrameStream.LENGTH_BYTES) {
      return null;
    }
    int length = FrameStream.checkedLength(bytes.getInt(bytes.position()));
    if (bytes.remaining() < FrameStream.LENGTH_BYTES + length) {
      return null;
    }
    byte[] content = new byte[length];
    bytes.position(bytes.position() + FrameStream.LENGTH_BYTES).get(content);
    return content;
  }
}
