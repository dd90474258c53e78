package org.hornbeamusher.settings;

import org.hornbeamusher.ids.OperatorId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.TeamId;
import org.hornbeamusher.security.Identity;
import org.hornbeamusher.security.TokenDirectory;
import org.hornbeamusher.security.TokenHash;

/**
 * An operator that may change documents.
 *
 * @param id the operator
 * @param partner the partner it belongs to
 * @param team the team whose documents it may change
 * @param token the hash of its token
 * @param mayDrain whether it may drain this process
 */
public record OperatorSettings(
    OperatorId id, PartnerId partner, TeamId team, TokenHash token, boolean mayDrain) {

  /**
   * Creates this operator's entry of the token directory.
   *
   * @return the token's hash and the identity it belongs to
   */
  public TokenDirectory.Entry tokenEntry() {
    return new TokenDirectory.Entry(token, new Identity.Operator(id, partner, team, mayDrain));
  }
}
