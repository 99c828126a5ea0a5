/** HTTP server shared by the stand-ins, and the main class that runs a whole fleet. */
@NullMarked
package org.hyssoprouter.standin;

import org.jspecify.annotations.NullMarked;
