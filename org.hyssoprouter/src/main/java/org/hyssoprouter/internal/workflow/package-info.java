/**
 * Decisions on the tasks of workflows: which run where, when, and what an owner makes durable.
 * Pure: the time is passed in, and effects are returned.
 */
@NullMarked
package org.hyssoprouter.internal.workflow;

import org.jspecify.annotations.NullMarked;
