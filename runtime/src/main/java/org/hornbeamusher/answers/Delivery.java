package org.hornbeamusher.answers;

import java.util.List;

/**
 * What one frame led to.
 *
 * @param parts what the caller gets now, in order; mostly one part
 * @param state what is known of the answer afterwards
 */
public record Delivery(List<byte[]> parts, AnswerState state) {

  /** Copies the list. */
  public Delivery {
    parts = List.copyOf(parts);
  }
}
