/**
 * The operators' HTTP interface: service documents, their history, status, metrics and drain. Every
 * answer is confined to the partner that the operator's token stands for.
 */
package org.hornbeamusher.operator;
