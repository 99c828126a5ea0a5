/** Values of workflows: jobs of several steps, their tasks, and the workers that run them. */
@NullMarked
package org.hyssoprouter.lib.workflow;

import org.jspecify.annotations.NullMarked;
