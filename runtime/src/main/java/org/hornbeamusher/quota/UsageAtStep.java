package org.hornbeamusher.quota;

/**
 * What a process, or all but one, used under a name in one step of time. It replaces what was
 * stated before for the same name and step, so that a repeated statement changes nothing.
 *
 * @param name the name of a client account or of a share, see {@link UsageNames}
 * @param step the step by the clock of the sender, see {@link UsageSteps#stepOf}
 * @param units units used in that step, without those that were refunded
 */
public record UsageAtStep(String name, long step, long units) {}
