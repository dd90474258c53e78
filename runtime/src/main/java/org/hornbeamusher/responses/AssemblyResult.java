package org.hornbeamusher.responses;

import java.util.List;

/**
 * What one frame led to.
 *
 * @param parts what the caller gets now, in order; mostly one part
 * @param state what is known of the answer afterwards
 */
public record AssemblyResult(List<byte[]> parts, ResponseState state) {

  /** Copies the list. */
  public AssemblyResult {
    parts = List.copyOf(parts);
  }
}
