package org.hyssoprouter.daemon.ownership;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Runs daemons on simulated time under random faults; {@link SimulatedCell} has the invariants. */
final class OwnershipModelTest {
    @Property(seed = "7301", tries = 150, shrinking = ShrinkingMode.OFF)
    void atMostOneConfirmedOwnerAndNoAcknowledgedEventLost(@ForAll long seed) {
        new SimulatedCell(seed).run();
    }
}
