package org.hornbeamusher.settings;

import org.hornbeamusher.ids.OperatorId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.TeamId;
import org.hornbeamusher.security.TokenHash;

/**
 * Someone who may change documents.
 *
 * @param id the operator
 * @param partner the partner it belongs to
 * @param team the team whose documents it may change
 * @param token the hash of its token
 */
public record OperatorSettings(OperatorId id, PartnerId partner, TeamId team, TokenHash token) {}
