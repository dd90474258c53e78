/** The protocol between entries and agents: length-prefixed MessagePack frames over TCP. */
package org.hornbeamusher.wire;
