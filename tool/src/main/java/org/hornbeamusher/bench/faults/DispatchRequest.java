package org.hornbeamusher.bench.faults;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.responses.ResponseState;

/** A repeatable request and the part of the response that its caller has received. */
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

  /** Returns the text that an engine generates as one part, on the given adapter. */
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

  void checkInvariants(FaultInjector injector, boolean entryLives) {
    injector.check(
        Invariant.ANSWERS_NOT_ONE,
        ends.size() == 1 || (ends.isEmpty() && !entryLives),
        "request " + number + " ended with " + ends);
    StringBuilder expected = new StringBuilder();
    for (int part = 0; part < parts; part++) {
      expected.append(part(adapter, part));
    }
    boolean complete = ends.contains(new ResponseState.Complete());
    boolean matches =
        complete
            ? received.toString().contentEquals(expected)
            : expected.toString().startsWith(received.toString());
    injector.check(
        Invariant.ANSWER_NOT_OWN, matches, "request " + number + " received " + received);
  }
}
