/** Stand-in of an executor, which answers requests and counts what runs at once. */
@NullMarked
package org.hyssoprouter.standin.executor;

import org.jspecify.annotations.NullMarked;
