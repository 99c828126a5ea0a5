package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.transport.PartitionTable;

/**
 * Names the table that lists the workers and decodes its rows.
 *
 * @since 0.2
 */
public interface WorkerSource {
    /** Returns the name of the table that lists the workers. */
    String table();

    /** Decodes a row; none if it describes no usable worker. */
    Option<WorkerEntry> decode(PartitionTable.Entry entry);
}
