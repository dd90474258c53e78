package org.hornbeamusher.demo;

/** Generates the service documents of a partner. */
final class DemoDocuments {

  private DemoDocuments() {}

  static String modelDocument(PartnerPlan plan, int slots, int batch, int queue) {
    StringBuilder text = new StringBuilder();
    text.append(header(plan, plan.modelService().value()));
    text.append("[model]\n");
    text.append("base_model = \"base\"\n");
    text.append("fencing = true\n");
    text.append("slots = ").append(slots).append('\n');
    text.append("batch = ").append(batch).append('\n');
    text.append("weights = \"").append(plan.partner()).append("/{adapter}/{version}\"\n");
    text.append("[weights]\n");
    text.append("load_stall = ").append(plan.costWeights().loadStall()).append('\n');
    text.append("batch_efficiency = ").append(plan.costWeights().batchEfficiency()).append('\n');
    text.append("[limits]\n");
    text.append("queue = ").append(queue).append('\n');
    text.append("[adapters]\n");
    for (int i = 0; i < plan.adapterCount(); i++) {
      text.append("\"a-").append(i).append("\" = { current = 1, versions = [1] }\n");
    }
    return text.toString();
  }

  static String plainDocument(PartnerPlan plan, int concurrency) {
    return header(plan, plan.plainService().value())
        + "[plain]\n"
        + ("concurrency = " + concurrency + "\n")
        + ("non_repeatable = [{ method = \"POST\", path = \""
            + plan.nonRepeatablePath()
            + "\" }]\n");
  }

  private static String header(PartnerPlan plan, String service) {
    return ("service = \"" + service + "\"\n")
        + ("partner = \"" + plan.partner() + "\"\n")
        + ("team = \"" + plan.team() + "\"\n")
        + ("pool = \"" + service + "\"\n");
  }
}
