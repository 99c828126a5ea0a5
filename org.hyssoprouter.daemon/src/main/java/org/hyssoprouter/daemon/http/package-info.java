/** HTTP API for callers and operators: routes, validation of input and response formats. */
@NullMarked
package org.hyssoprouter.daemon.http;

import org.jspecify.annotations.NullMarked;
