/** Clocks, codecs and other helpers without scheduling logic. */
@NullMarked
package org.hyssoprouter.util;

import org.jspecify.annotations.NullMarked;
