package org.hornbeamusher.forwarding;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.quota.QuotaCharge;
import org.hornbeamusher.quota.QuotaDecision;
import org.hornbeamusher.quota.QuotaMeter;

/**
 * What the client account of one request is charged: the admission, and each further send after one
 * that may have run. Confined to the event loop.
 *
 * <p>A quota limits what runs in a window, and a request may wait for longer than a window before
 * it is sent. Its charge is therefore renewed while it waits, and dated at the send.
 *
 * <p>A further send is charged before the request is placed, and waits while the quota has no units
 * for it. The limit for further sends lies above that of admissions, so that a request that was
 * admitted is lost to its caller only if all others are refused, too.
 */
final class RequestCharge {

  private final String requestId;
  private final QuotaMeter<?> meter;
  private final QuotaLog log;
  private final Consumer<AccountName> usageChanged;
  private final Clock clock;

  /** Empty if the request has no account. */
  private Optional<QuotaCharge> latest;

  /** Whether the latest charge is that of a send that may have run. */
  private boolean used;

  private int possibleRuns;
  private boolean delayed;

  RequestCharge(
      String requestId,
      Optional<QuotaCharge> admission,
      QuotaMeter<?> meter,
      QuotaLog log,
      Consumer<AccountName> usageChanged,
      Clock clock) {
    this.requestId = requestId;
    this.latest = admission;
    this.meter = meter;
    this.log = log;
    this.usageChanged = usageChanged;
    this.clock = clock;
  }

  /**
   * Charges the next send unless it is charged already. Called before the request is placed.
   *
   * @return after how many milliseconds the quota has units for it; empty if it is charged
   */
  OptionalLong chargeNextSend() {
    if (!used || latest.isEmpty()) {
      return OptionalLong.empty();
    }
    QuotaCharge before = latest.get();
    return switch (meter.admitFurtherRun(before.account(), before.units(), clock.millis())) {
      case QuotaDecision.Admitted admitted -> {
        latest = Optional.of(admitted.charge());
        used = false;
        if (before.units() > 0) {
          log.furtherRun(requestId, admitted, possibleRuns);
          usageChanged.accept(before.account());
        }
        yield OptionalLong.empty();
      }
      case QuotaDecision.Exceeded exceeded -> {
        if (!delayed) {
          delayed = true;
          log.furtherRunDelayed(requestId, before, exceeded, possibleRuns);
        }
        yield OptionalLong.of(exceeded.retryAfterMillis());
      }
    };
  }

  /** Called when the request is sent. */
  void sent() {
    latest = latest.map(this::renew);
    used = true;
    possibleRuns++;
  }

  /** Called repeatedly while the request waits to be sent. */
  void waiting() {
    if (!used && ageMillis() >= meter.renewalMillis()) {
      latest = latest.map(this::renew);
    }
  }

  private QuotaCharge renew(QuotaCharge charge) {
    log.renewed(charge);
    return meter.renew(charge, clock.millis());
  }

  /** Called when the last send has not run and will not run. */
  void lastSendDidNotRun() {
    used = false;
    possibleRuns--;
  }

  /** Returns the number of sends that may have run. */
  int possibleRuns() {
    return possibleRuns;
  }

  /** Returns how long ago the latest charge was made; -1 if there is none. */
  long ageMillis() {
    return latest.map(charge -> clock.millis() - charge.chargedMillis()).orElse(-1L);
  }

  /** Called when the request has ended; refunds a charge that no send has used. */
  void ended() {
    if (!used) {
      latest.filter(charge -> charge.units() > 0).ifPresent(this::refund);
    }
  }

  private void refund(QuotaCharge charge) {
    long now = clock.millis();
    meter.refund(charge, now);
    log.refunded(requestId, charge, now);
  }
}
