/** Value types that callers, operators and the decision code share. */
@NullMarked
package org.hyssoprouter.lib;

import org.jspecify.annotations.NullMarked;
