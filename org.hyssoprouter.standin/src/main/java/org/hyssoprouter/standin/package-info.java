/** To be described. */
@NullMarked
package org.hyssoprouter.standin;

import org.jspecify.annotations.NullMarked;
