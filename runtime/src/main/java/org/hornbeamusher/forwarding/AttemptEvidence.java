package org.hornbeamusher.forwarding;

/**
 * What one attempt shows about a crash of its endpoint.
 *
 * @param sentMillis when it was sent
 * @param endedByPeer whether the endpoint's side ended the connection, so that a process ran there
 *     after the send; false if this entry gave the attempt up
 * @param answered whether the endpoint had been answering for a while, so that no part of the
 *     prompt caused its crash
 */
record AttemptEvidence(long sentMillis, boolean endedByPeer, boolean answered) {}
