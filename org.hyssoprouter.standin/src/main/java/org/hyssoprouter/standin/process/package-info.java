/** Real processes and connections under test: signals to the ones, faults on the others. */
@NullMarked
package org.hyssoprouter.standin.process;

import org.jspecify.annotations.NullMarked;
