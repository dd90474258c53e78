/** Forecasts of first events and of free capacity, and the decisions that follow from them. */
package org.hornbeamusher.forecast;
