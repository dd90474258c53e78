package org.hornbeamusher.documents;

import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.TeamId;

/**
 * The team that an operator's token identifies.
 *
 * @param partner the partner
 * @param team the team, unique within its partner
 */
public record Principal(PartnerId partner, TeamId team) {

  /**
   * Returns whether this team owns a document.
   *
   * @param document any version of it
   * @return whether partner and team are the same
   */
  public boolean owns(ServiceDocument document) {
    return partner.equals(document.partner()) && team.equals(document.team());
  }
}
