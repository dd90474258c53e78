package org.hornbeamusher.forwarding;

import java.util.Optional;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.quota.QuotaCharge;
import org.hornbeamusher.quota.QuotaMeter;
import org.hornbeamusher.quota.QuotaState;

/**
 * What the client account of one request is charged: the admission, and each further send after one
 * that may have run. Confined to the event loop.
 *
 * <p>A quota limits what runs in a window, and a request may wait for longer than a window before
 * it is sent. Its charge is therefore renewed while it waits, and dated at the send.
 *
 * <p>A further send is charged although the account may have exhausted its quota by then. It takes
 * from what the account's later requests may use, so that the total stays within the quota, and a
 * request that was admitted is not lost to its caller.
 */
final class RequestCharge {

  private final String requestId;
  private final QuotaMeter<?> meter;
  private final QuotaLog log;
  private final Clock clock;

  /** Empty if the request has no account. */
  private Optional<QuotaCharge> latest;

  /** Whether the latest charge is that of a send that may have run. */
  private boolean used;

  private int possibleRuns;

  RequestCharge(
      String requestId,
      Optional<QuotaCharge> admission,
      QuotaMeter<?> meter,
      QuotaLog log,
      Clock clock) {
    this.requestId = requestId;
    this.latest = admission;
    this.meter = meter;
    this.log = log;
    this.clock = clock;
  }

  /** Called when the request is sent. */
  void sent() {
    latest = latest.map(used ? this::chargeAgain : this::renew);
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

  private QuotaCharge chargeAgain(QuotaCharge before) {
    long now = clock.millis();
    QuotaState state = meter.state(before.account(), now);
    QuotaCharge further = meter.charge(before.account(), before.units(), now);
    if (further.units() > 0) {
      log.furtherRun(requestId, further, possibleRuns, state);
    }
    return further;
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
