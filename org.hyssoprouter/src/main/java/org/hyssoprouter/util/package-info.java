/** Clocks, services and codecs without any decision in them. */
@NullMarked
package org.hyssoprouter.util;

import org.jspecify.annotations.NullMarked;
