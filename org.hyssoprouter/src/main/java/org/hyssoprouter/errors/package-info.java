/** Typed failures, each saying what was expected and whether work may have run. */
@NullMarked
package org.hyssoprouter.errors;

import org.jspecify.annotations.NullMarked;
