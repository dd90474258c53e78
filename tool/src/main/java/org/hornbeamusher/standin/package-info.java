/**
 * Stand-ins of the external systems: engines, plain services, the weight store and the platform.
 * They implement the interfaces of {@code docs/ENGINE-INTERFACE.md} and {@code
 * docs/PLATFORM-INTERFACE.md}, simulate faults on request, and count calls for tests.
 */
package org.hornbeamusher.standin;
