package org.hornbeamusher.security;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.OperatorId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.TeamId;
import org.junit.jupiter.api.Test;

class TokenDirectoryTest {

  private static final Identity.Caller CALLER =
      new Identity.Caller(new CallerId("desk"), new PartnerId("zarqa"), Set.of());
  private static final Identity.Operator OPERATOR =
      new Identity.Operator(
          new OperatorId("ana"), new PartnerId("tawhiti"), new TeamId("valuations"), false);

  private final TokenDirectory directory =
      new TokenDirectory(
          List.of(
              new TokenDirectory.Entry(TokenHash.ofToken("caller-token"), CALLER),
              new TokenDirectory.Entry(TokenHash.ofToken("operator-token"), OPERATOR)));

  private static FailureType failure(org.junit.jupiter.api.function.Executable call) {
    return assertThrows(HornbeamusherException.class, call).type();
  }

  @Test
  void tokensAreFoundByTheirRole() {
    assertEquals(CALLER, directory.caller("Bearer caller-token"));
    assertEquals(OPERATOR, directory.operator("bearer operator-token "));
  }

  /**
   * A caller's token must not give access to the operators' API, nor the reverse: otherwise a
   * leaked caller token could change documents.
   */
  @Test
  void tokenOfAnotherRoleIsForbidden() {
    assertEquals(FailureType.FORBIDDEN, failure(() -> directory.caller("Bearer operator-token")));
    assertEquals(FailureType.FORBIDDEN, failure(() -> directory.operator("Bearer caller-token")));
  }

  @Test
  void missingOrUnknownTokensAreNotAuthenticated() {
    assertEquals(FailureType.UNAUTHENTICATED, failure(() -> directory.caller(null)));
    assertEquals(FailureType.UNAUTHENTICATED, failure(() -> directory.caller("Bearer ")));
    assertEquals(FailureType.UNAUTHENTICATED, failure(() -> directory.caller("Basic abc")));
    assertEquals(FailureType.UNAUTHENTICATED, failure(() -> directory.operator("Bearer x")));
  }

  @Test
  void hashRoundTripsAndIsNeverPrinted() {
    TokenHash hash = TokenHash.ofToken("caller-token");
    assertEquals(hash, TokenHash.parse(hash.hex()));
    assertFalse(hash.toString().contains(hash.hex().substring(0, 8)));
  }

  @Property(seed = "20341202", tries = 300)
  void arbitraryHeadersMatchNoToken(@ForAll String header) {
    assertEquals(Optional.empty(), directory.find(header));
    assertEquals(Optional.empty(), directory.find("Bearer " + header));
  }
}
