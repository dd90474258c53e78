package org.hornbeamusher.wire;

import java.nio.ByteBuffer;

/**
 * Bytes of a connection that come and go in pieces of any size.
 *
 * <p>The buffer is as large as what has been in it at once; nearly every frame is short, and an
 * entry has a connection to each of a thousand agents.
 */
final class FrameBuffer {

  private static final int FIRST_BYTES = 512;

  /** Between calls, what it holds lies between its position and its limit. */
  private ByteBuffer bytes = ByteBuffer.allocate(FIRST_BYTES).flip();

  /** Returns how many bytes it holds. */
  int length() {
    return bytes.remaining();
  }

  /** Adds a frame. */
  void putFrame(byte[] content) {
    ByteBuffer room = writable(FrameStream.LENGTH_BYTES + content.length);
    room.putInt(content.length).put(content).flip();
  }

  /** Returns room for at least as many more bytes; {@link #written} has to follow. */
  ByteBuffer writable(int more) {
    int needed = bytes.remaining() + more;
    if (bytes.capacity() < needed) {
      bytes = ByteBuffer.allocate(Math.max(needed, 2 * bytes.capacity())).put(bytes);
    } else {
      bytes.compact();
    }
    return bytes;
  }

  /** Takes what was written into the room. */
  void written() {
    bytes.flip();
  }

  /** Returns what it holds, to be read; {@link #read} has to follow. */
  ByteBuffer readable() {
    return bytes;
  }

  /** Drops what was read. */
  void read() {
    bytes.compact().flip();
  }

  /**
   * Takes the next frame out.
   *
   * @return its content, or null while it is not whole
   */
  byte[] takeFrame() {
    if (bytes.remaining() < FrameStream.LENGTH_BYTES) {
      return null;
    }
    int length = FrameStream.checked(bytes.getInt(bytes.position()));
    if (bytes.remaining() < FrameStream.LENGTH_BYTES + length) {
      return null;
    }
    byte[] content = new byte[length];
    bytes.position(bytes.position() + FrameStream.LENGTH_BYTES).get(content);
    return content;
  }
}
