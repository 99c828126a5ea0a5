/** Error values of calls, table operations and refused work, with whether work may have run. */
@NullMarked
package org.hyssoprouter.errors;

import org.jspecify.annotations.NullMarked;
