package org.hornbeamusher.shares;

import java.util.Optional;
import org.hornbeamusher.quota.UsageNames;

/**
 * The share of a service's capacity that a request counts against.
 *
 * @param service the service
 * @param account the client account; empty where no account is required
 * @param rank the priority of the kind of request among those of the account; 0 is the most urgent
 */
public record ShareId(String service, String account, int rank) {

  private static final String SEPARATOR = "\t";
  private static final int FIELDS = 4;

  /**
   * Returns the name under which usage of the share is exchanged.
   *
   * @return a name that no client account has
   */
  public String usageName() {
    return UsageNames.SHARE_PREFIX + service + SEPARATOR + account + SEPARATOR + rank;
  }

  /**
   * Parses a name under which usage is exchanged.
   *
   * @param name the name
   * @return the share; empty if the name is not one of a share, or of a form not known here
   */
  public static Optional<ShareId> parse(String name) {
    String[] fields = name.split(SEPARATOR, -1);
    if (!UsageNames.isShare(name) || fields.length != FIELDS || fields[1].isEmpty()) {
      return Optional.empty();
    }
    try {
      return Optional.of(new ShareId(fields[1], fields[2], Integer.parseInt(fields[3])));
    } catch (NumberFormatException e) {
      // A later release may write another form; its usage does not count here.
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return account + "/" + rank;
  }
}
