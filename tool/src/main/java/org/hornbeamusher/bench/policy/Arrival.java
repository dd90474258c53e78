package org.hornbeamusher.bench.policy;

import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;

/**
 * One request of a workload, with the time at which it arrives.
 *
 * @param number position in the order in which the requests were drawn, from 0
 * @param millis time of arrival in virtual milliseconds
 * @param entry index of the entry at which it arrives
 * @param tenant the partner whose service it calls
 * @param caller the caller that sends it
 * @param adapter the adapter that it needs
 * @param prefixHash hash of the beginning of its prompt
 * @param tokens number of output tokens
 * @param deadlineMillis deadline in virtual milliseconds
 */
record Arrival(
    int number,
    long millis,
    int entry,
    Tenant tenant,
    CallerId caller,
    AdapterRef adapter,
    long prefixHash,
    int tokens,
    long deadlineMillis) {}
