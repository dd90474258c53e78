package org.hornbeamusher.features;

import java.util.Set;

/**
 * The features that are switched off in a process.
 *
 * @param off the features that are not used
 */
public record ServingFeatures(Set<ServingFeature> off) {

  /** All features are used. */
  public static final ServingFeatures ALL = new ServingFeatures(Set.of());

  /** Copies the set. */
  public ServingFeatures {
    off = Set.copyOf(off);
  }

  /**
   * Returns whether a feature is used.
   *
   * @param feature the feature
   * @return true unless it is switched off
   */
  public boolean uses(ServingFeature feature) {
    return !off.contains(feature);
  }
}
