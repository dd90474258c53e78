/** What the way through entry and agent costs against the same load straight at the engine. */
package org.hornbeamusher.bench.path;
