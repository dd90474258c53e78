package org.hornbeamusher.features;

import java.util.Arrays;
import java.util.Optional;

/** A feature of serving under load. Each is on unless the settings of the process switch it off. */
public enum ServingFeature {
  /** Loads of adapters are ordered and paced over all engines after many engines have restarted. */
  RECOVERY("recovery"),
  /**
   * Scarce capacity is shared between client accounts and kinds of request; without it in order of
   * arrival and priority.
   */
  FAIR_SHARES("fair-shares"),
  /**
   * Requests are refused by the forecast of their first event, and callers are told to return when
   * capacity is expected; without it by fixed fractions of their time.
   */
  FORECAST("forecast");

  private final String label;

  ServingFeature(String label) {
    this.label = label;
  }

  /**
   * Returns the name of the feature in settings.
   *
   * @return lower case, words joined by hyphens
   */
  public String label() {
    return label;
  }

  /**
   * Finds a feature by its name in settings.
   *
   * @param label the name
   * @return the feature, or empty if there is none of this name
   */
  public static Optional<ServingFeature> find(String label) {
    return Arrays.stream(values()).filter(feature -> feature.label.equals(label)).findFirst();
  }
}
