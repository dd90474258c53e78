/**
 * The operators' HTTP API: service documents, their history, status, metrics and drain. Every
 * response is limited to the partner that the operator's token belongs to.
 */
package org.hornbeamusher.operator;
