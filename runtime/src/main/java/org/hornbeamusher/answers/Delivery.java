package org.hornbeamusher.answers;

import java.util.List;

/**
 * Result of processing one frame.
 *
 * @param parts the parts that can now be delivered, in order; usually one
 * @param state the state of the response afterwards
 */
public record Delivery(List<byte[]> parts, AnswerState state) {

  /** Copies the list. */
  public Delivery {
    parts = List.copyOf(parts);
  }
}
