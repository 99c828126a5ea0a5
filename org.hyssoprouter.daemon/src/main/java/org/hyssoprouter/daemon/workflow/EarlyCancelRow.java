package org.hyssoprouter.daemon.workflow;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Cancellation of a workflow that had no row, whose submission may still be under way.
 *
 * @param workspace name of the caller's workspace, or empty
 * @param storeMillis time of the cancellation on the store's steady clock, in milliseconds; 0 if
 *     unknown
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record EarlyCancelRow(String workspace, long storeMillis) {}
