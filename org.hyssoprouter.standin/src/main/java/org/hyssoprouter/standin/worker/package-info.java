/** Stand-in of a worker: simulates tasks under leases. */
@NullMarked
package org.hyssoprouter.standin.worker;

import org.jspecify.annotations.NullMarked;
