/** Value types of workflows: specifications, tasks, run reports, and the workers that run tasks. */
@NullMarked
package org.hyssoprouter.lib.workflow;

import org.jspecify.annotations.NullMarked;
