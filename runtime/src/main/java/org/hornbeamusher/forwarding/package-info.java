/**
 * The path of a request from a caller to an endpoint and back, without a protocol of its own: the
 * endpoint's answer is the caller's answer.
 */
package org.hornbeamusher.forwarding;
