package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.transport.PartitionTable;

/**
 * Where workers are listed: a table, and how its rows are read.
 *
 * @since 0.2
 */
public interface WorkerSource {
    /** Returns the table that lists the workers. */
    String table();

    /** Reads a row; none if it names no worker to use. */
    Option<WorkerEntry> decode(PartitionTable.Entry entry);
}
