/** HTTP endpoint that the stand-ins share, and the process that hosts a whole fleet. */
@NullMarked
package org.hyssoprouter.standin;

import org.jspecify.annotations.NullMarked;
