package org.hornbeamusher.http;

/**
 * One header field. A message may carry several of one name; their order is kept.
 *
 * @param name as it was written
 * @param value without surrounding white space
 */
public record HttpHeader(String name, String value) {}
