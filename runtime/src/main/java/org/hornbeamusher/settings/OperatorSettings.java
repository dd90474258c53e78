package org.hornbeamusher.settings;

import org.hornbeamusher.ids.OperatorId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.TeamId;
import org.hornbeamusher.security.Identity;
import org.hornbeamusher.security.TokenDirectory;
import org.hornbeamusher.security.TokenHash;

/**
 * Someone who may change documents.
 *
 * @param id the operator
 * @param partner the partner it belongs to
 * @param team the team whose documents it may change
 * @param token the hash of its token
 * @param mayDrain whether it may make this process leave
 */
public record OperatorSettings(
    OperatorId id, PartnerId partner, TeamId team, TokenHash token, boolean mayDrain) {

  /**
   * Makes the entry of the directory of tokens.
   *
   * @return the token's hash and whom it stands for
   */
  public TokenDirectory.Entry entry() {
    return new TokenDirectory.Entry(token, new Identity.Operator(id, partner, team, mayDrain));
  }
}
