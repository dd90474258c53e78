/** Frames between entries and agents: TCP, a length prefix and MessagePack. */
package org.hornbeamusher.wire;
