package org.hornbeamusher.responses;

import java.util.List;

/**
 * Result of processing one frame.
 *
 * @param parts the parts that can now be delivered, in order; usually one
 * @param state the state of the response afterwards
 */
public record AssemblyResult(List<byte[]> parts, ResponseState state) {

  /** Copies the list. */
  public AssemblyResult {
    parts = List.copyOf(parts);
  }
}
