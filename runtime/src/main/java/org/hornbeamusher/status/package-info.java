/** What a process tells operators about itself, as data, JSON, text and a read-only page. */
package org.hornbeamusher.status;
