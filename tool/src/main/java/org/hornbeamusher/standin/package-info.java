/**
 * Small stand-ins for what surrounds the system: engines, plain services, the weight store and the
 * platform. They speak the interfaces of {@code docs/ENGINE-INTERFACE.md} and {@code
 * docs/PLATFORM-INTERFACE.md}, can be told to fail, and count what a test wants to know.
 */
package org.hornbeamusher.standin;
