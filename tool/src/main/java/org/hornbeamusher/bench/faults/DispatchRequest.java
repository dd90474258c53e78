package org.hornbeamusher.bench.faults;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.responses.ResponseState;

/** One repeatable request, and what its caller has received so far. */
final class DispatchRequest {

  private final int number;
  private final AdapterRef adapter;
  private final int parts;
  private final long deadlineMillis;
  private final StringBuilder received = new StringBuilder();
  private final List<ResponseState> ends = new ArrayList<>();

  DispatchRequest(int number, AdapterRef adapter, int parts, long deadlineMillis) {
    this.number = number;
    this.adapter = adapter;
    this.parts = parts;
    this.deadlineMillis = deadlineMillis;
  }

  AdapterRef adapter() {
    return adapter;
  }

  int parts() {
    return parts;
  }

  long deadlineMillis() {
    return deadlineMillis;
  }

  /** What an engine generates for this request on an adapter. */
  String part(AdapterRef used, int part) {
    return number + ":" + used + ":" + part + ";";
  }

  void receive(String text) {
    received.append(text);
  }

  boolean receivedAny() {
    return !received.isEmpty();
  }

  void end(ResponseState state) {
    ends.add(state);
  }

  boolean ended() {
    return !ends.isEmpty();
  }

  void judge(Chaos chaos, boolean entryLives) {
    chaos.check(
        Check.ANSWERS_NOT_ONE,
        ends.size() == 1 || (ends.isEmpty() && !entryLives),
        "request " + number + " ended with " + ends);
    StringBuilder expected = new StringBuilder();
    for (int part = 0; part < parts; part++) {
      expected.append(part(adapter, part));
    }
    boolean whole = ends.contains(new ResponseState.Complete());
    boolean own =
        whole
            ? received.toString().contentEquals(expected)
            : expected.toString().startsWith(received.toString());
    chaos.check(Check.ANSWER_NOT_OWN, own, "request " + number + " received " + received);
  }
}
