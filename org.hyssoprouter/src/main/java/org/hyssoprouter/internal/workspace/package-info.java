/**
 * Decisions about workspaces: which callers belong to them and what they may use. The code does no
 * I/O: callers pass in the time and the configuration.
 */
@NullMarked
package org.hyssoprouter.internal.workspace;

import org.jspecify.annotations.NullMarked;
