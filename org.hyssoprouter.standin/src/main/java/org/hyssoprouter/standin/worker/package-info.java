/** Stand-in of a worker, which runs simulated tasks under leases. */
@NullMarked
package org.hyssoprouter.standin.worker;

import org.jspecify.annotations.NullMarked;
