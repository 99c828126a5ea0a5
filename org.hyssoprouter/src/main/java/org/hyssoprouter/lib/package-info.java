/** Value types shared by the APIs for callers and operators and by the scheduling code. */
@NullMarked
package org.hyssoprouter.lib;

import org.jspecify.annotations.NullMarked;
