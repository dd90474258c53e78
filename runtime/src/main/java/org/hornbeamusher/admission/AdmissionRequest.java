package org.hornbeamusher.admission;

import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;

/**
 * What admission needs to know of one request.
 *
 * @param partner who pays for the capacity
 * @param service the service
 * @param caller who sent it
 * @param costTokens expected work: prompt and answer together
 * @param deadlineMillis when its answer is worthless, as a time of the clock
 * @param estimatedMillis expected time from now to the whole answer: wait and service together
 * @param serviceShare the service's part of its partner's share
 * @param callerWeight the caller's part of the service's share
 */
public record AdmissionRequest(
    PartnerId partner,
    ServiceName service,
    CallerId caller,
    int costTokens,
    long deadlineMillis,
    long estimatedMillis,
    int serviceShare,
    int callerWeight) {}
