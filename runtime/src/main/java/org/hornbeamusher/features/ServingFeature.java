package org.hornbeamusher.features;

import java.util.Arrays;
import java.util.Optional;

/**
 * A feature of serving under load, which the settings of a process switch on or off.
 *
 * <p>A feature is used by default once played days have shown that it serves callers better.
 */
public enum ServingFeature {
  /** Loads of adapters are ordered and paced over all engines after many engines have restarted. */
  RECOVERY("recovery", false),
  /**
   * Scarce capacity is shared between client accounts and kinds of request; without it in order of
   * arrival and priority.
   */
  FAIR_SHARES("fair-shares", true),
  /**
   * Requests are refused by the forecast of their first event, and callers return when capacity is
   * expected; without it both go by fixed fractions of their time.
   */
  FORECAST("forecast", false);

  private final String label;
  private final boolean usedByDefault;

  ServingFeature(String label, boolean usedByDefault) {
    this.label = label;
    this.usedByDefault = usedByDefault;
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
   * Returns whether the feature is used unless the settings switch it off.
   *
   * @return false if the settings have to switch it on
   */
  public boolean usedByDefault() {
    return usedByDefault;
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
