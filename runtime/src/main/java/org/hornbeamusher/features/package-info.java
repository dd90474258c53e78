/** The features of serving that an operator can switch off. */
package org.hornbeamusher.features;
