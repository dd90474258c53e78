package org.hornbeamusher.admission;

import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;

/**
 * The properties of a request that admission control depends on.
 *
 * @param partner the partner that pays for the capacity
 * @param service the service
 * @param caller the caller that sent it
 * @param costTokens expected work: prompt and output tokens together
 * @param deadlineMillis the clock time after which its response is useless
 * @param estimatedMillis expected time from now to the complete response: waiting and run time
 *     together
 * @param serviceShare weight of the service within its partner's share
 * @param callerWeight weight of the caller within the service's share
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
