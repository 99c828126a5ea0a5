/**
 * Scheduling of workflows: decides which tasks run on which workers and when, and which state of a
 * workflow is made durable. The code does no I/O: callers pass in the time and process the output.
 */
@NullMarked
package org.hyssoprouter.internal.workflow;

import org.jspecify.annotations.NullMarked;
