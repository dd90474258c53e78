package org.hornbeamusher.membership;

import org.hornbeamusher.ids.ProcessIncarnation;

/** What a change in {@link PeerTable} means for its owner. */
public sealed interface PeerEvent {

  /**
   * The peer's address.
   *
   * @return where it listens
   */
  String address();

  /**
   * Open a connection.
   *
   * @param address where to
   */
  record Connect(String address) implements PeerEvent {}

  /**
   * The peer takes work.
   *
   * @param address the peer
   * @param incarnation the process that takes it
   */
  record Joined(String address, ProcessIncarnation incarnation) implements PeerEvent {}

  /**
   * Send nothing new; what it runs goes on.
   *
   * @param address the peer
   * @param incarnation the process that is leaving
   */
  record Leaving(String address, ProcessIncarnation incarnation) implements PeerEvent {}

  /**
   * The process is gone or cannot be heard; settle its attempts.
   *
   * @param address the peer
   * @param incarnation the process that is lost
   */
  record Lost(String address, ProcessIncarnation incarnation) implements PeerEvent {}
}
