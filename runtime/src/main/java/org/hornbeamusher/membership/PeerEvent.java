package org.hornbeamusher.membership;

import org.hornbeamusher.ids.ProcessIncarnation;

/** A change in {@link PeerTable} that its owner has to act on. */
public sealed interface PeerEvent {

  /**
   * Returns the peer's address.
   *
   * @return the address on which it listens
   */
  String address();

  /**
   * A connection to the peer must be opened.
   *
   * @param address the peer's address
   */
  record Connect(String address) implements PeerEvent {}

  /**
   * The peer accepts new requests.
   *
   * @param address the peer's address
   * @param incarnation the process that accepts them
   */
  record Joined(String address, ProcessIncarnation incarnation) implements PeerEvent {}

  /**
   * The peer is leaving: no new requests may be sent to it, but running ones continue.
   *
   * @param address the peer's address
   * @param incarnation the process that is leaving
   */
  record Leaving(String address, ProcessIncarnation incarnation) implements PeerEvent {}

  /**
   * The process has ended or is unreachable; the outcome of its attempts must be determined.
   *
   * @param address the peer's address
   * @param incarnation the process that is lost
   */
  record Lost(String address, ProcessIncarnation incarnation) implements PeerEvent {}
}
