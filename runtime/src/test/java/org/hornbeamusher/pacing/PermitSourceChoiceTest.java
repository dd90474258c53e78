package org.hornbeamusher.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hornbeamusher.ids.EndpointId;
import org.junit.jupiter.api.Test;

class PermitSourceChoiceTest {

  private static List<EndpointId> agents(int count) {
    return IntStream.range(0, count).mapToObj(i -> new EndpointId("valuer-llm-" + i)).toList();
  }

  /** Agents learn of each other in any order, and must determine the same holder nevertheless. */
  @Property(tries = 50, seed = "77")
  void everyAgentDeterminesTheSameHolder(@ForAll long seed) {
    List<EndpointId> shuffled = new ArrayList<>(agents(12));
    Collections.shuffle(shuffled, new Random(seed));
    assertEquals(
        PermitHolderChoice.holder("weights", agents(12)),
        PermitHolderChoice.holder("weights", shuffled));
  }

  @Test
  void holderChangesOnlyWhenItIsLost() {
    EndpointId holder = PermitHolderChoice.holder("weights", agents(12)).orElseThrow();
    for (EndpointId gone : agents(12)) {
      List<EndpointId> rest = agents(12).stream().filter(id -> !id.equals(gone)).toList();
      EndpointId next = PermitHolderChoice.holder("weights", rest).orElseThrow();
      assertEquals(!gone.equals(holder), next.equals(holder));
    }
    assertEquals(Optional.empty(), PermitHolderChoice.holder("weights", List.of()));
  }

  /**
   * The holder's connection stops responding. An agent that kept requesting permits there would
   * load nothing and its callers would be refused; after 1.5 s it paces itself, until the holder is
   * reachable again.
   */
  @Test
  void agentPacesItselfWhileHolderIsUnreachable() {
    EndpointId holder = PermitHolderChoice.holder("weights", agents(3)).orElseThrow();
    EndpointId self = agents(3).stream().filter(id -> !id.equals(holder)).findFirst().orElseThrow();
    PermitSourceChoice choice = new PermitSourceChoice(self, "weights");
    PermitSource ask = new PermitSource.RemoteHolder(holder);
    assertEquals(ask, choice.choose(agents(3), agents(3), 0));
    assertEquals(ask, choice.choose(agents(3), List.of(self), 100));
    assertEquals(ask, choice.choose(agents(3), List.of(self), 1_599));
    assertEquals(new PermitSource.SelfPaced(), choice.choose(agents(3), List.of(self), 1_600));
    assertEquals(ask, choice.choose(agents(3), agents(3), 1_601));
    assertEquals(
        new PermitSource.OwnAllocator(), choice.choose(List.of(self), List.of(self), 1_602));
  }

  /**
   * Every agent loses the holder at the same time and all want loads. Together they must stay close
   * to the store's rate, and must not start their loads at the same time.
   */
  @Test
  void selfPacedAgentsStayWithinTheRate() {
    int[] starts = new int[60_000];
    for (int agent = 0; agent < 12; agent++) {
      LocalPacer pacer = new LocalPacer(500, agent);
      for (int now = 0; now < starts.length; now += 10) {
        if (pacer.tryAcquire(12, now) instanceof PaceDecision.Proceed) {
          starts[now]++;
        }
      }
    }
    int all = IntStream.of(starts).sum();
    assertTrue(all > 108 && all < 135, "expected about 120 loads in a minute, started: " + all);
    int worstSecond =
        IntStream.range(0, 60)
            .map(s -> IntStream.range(s * 1_000, s * 1_000 + 1_000).map(i -> starts[i]).sum())
            .max()
            .orElseThrow();
    assertTrue(worstSecond <= 6, "maximum in one second: " + worstSecond);
  }
}
