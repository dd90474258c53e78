package org.hornbeamusher.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.entry.EntryDaemon;
import org.hornbeamusher.http.HttpCall;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpReply;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.standin.EngineSettings;
import org.hornbeamusher.standin.ExpectedAnswer;

/** Runs both partners side by side and checks what their callers receive. */
public final class Demo {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int OK = 200;
  private static final int SLOTS = 8;
  private static final int BATCH = 16;
  private static final long WARM_UP_MILLIS = 3_000;
  private static final int REQUESTS = 200;
  private static final int TOKENS = 32;
  private static final long TIMEOUT_MILLIS = 20_000;

  private final PrintStream out;
  private int answered;
  private int refused;
  private int wrong;
  private int lost;

  /**
   * Creates a demo.
   *
   * @param out takes its progress and totals
   */
  public Demo(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs the demo.
   *
   * @return 0, or 1 if anything that must always hold did not
   * @throws InterruptedException when interrupted
   */
  public int run() throws InterruptedException {
    Deployment deployment =
        new Deployment(
            List.of(PartnerPlan.ZARQA, PartnerPlan.TAWHITI), EngineSettings.of(0, SLOTS, BATCH));
    HttpClient client = new HttpClient(2);
    deployment.start();
    client.start();
    try {
      Thread.sleep(WARM_UP_MILLIS);
      send(client, deployment.entries(PartnerPlan.ZARQA).get(0), PartnerPlan.ZARQA);
      send(client, deployment.entries(PartnerPlan.TAWHITI).get(0), PartnerPlan.TAWHITI);
    } finally {
      client.stop();
      deployment.stop();
    }
    int requests = answered + refused + wrong + lost;
    out.printf(
        "demo: %d requests, %d answered, %d refused, %d wrong, %d lost, %d repeated%n",
        requests, answered, refused, wrong, lost, 0);
    return wrong + lost == 0 ? 0 : 1;
  }

  private void send(HttpClient client, EntryDaemon entry, PartnerPlan plan) {
    List<CompletableFuture<?>> all = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      int adapter = i % 20 == 19 ? plan.adapters() : i % 4;
      AdapterRef ref = new AdapterRef(plan.model(), new AdapterName("a-" + adapter), 1);
      String prompt = "request " + i;
      ObjectNode body = JSON.createObjectNode();
      body.put("model", ref.toString());
      body.put("prompt", prompt);
      body.put("max_tokens", TOKENS);
      HttpCall call =
          new HttpCall(
              "POST",
              URI.create(entry.uri() + "/v1/completions"),
              Map.of("Authorization", "Bearer " + Deployment.callerToken(plan)),
              body.toString().getBytes(StandardCharsets.UTF_8));
      all.add(
          client
              .send(call, TIMEOUT_MILLIS)
              .handle((reply, thrown) -> count(ref, prompt, reply, thrown)));
    }
    CompletableFuture.allOf(all.toArray(CompletableFuture[]::new)).join();
  }

  private synchronized Void count(
      AdapterRef ref, String prompt, HttpReply reply, Throwable thrown) {
    if (thrown != null) {
      out.println("lost: " + thrown);
      lost++;
    } else if (reply.status() != OK) {
      refused++;
    } else if (text(reply).equals(new ExpectedAnswer(ref, prompt, TOKENS).text())) {
      answered++;
    } else {
      wrong++;
    }
    return null;
  }

  private static String text(HttpReply reply) {
    try {
      return JSON.readTree(reply.body()).path("choices").path(0).path("text").asText();
    } catch (IOException e) {
      return "";
    }
  }
}
