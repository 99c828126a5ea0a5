/** To be described. */
@NullMarked
package org.hyssoprouter.pgm;

import org.jspecify.annotations.NullMarked;
