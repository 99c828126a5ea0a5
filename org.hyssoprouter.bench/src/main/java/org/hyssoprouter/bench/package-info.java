/** To be described. */
@NullMarked
package org.hyssoprouter.bench;

import org.jspecify.annotations.NullMarked;
