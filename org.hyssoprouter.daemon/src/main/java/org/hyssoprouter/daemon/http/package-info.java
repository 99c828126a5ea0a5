/** HTTP API for callers and operators: routes, checks of input and forms of answers. */
@NullMarked
package org.hyssoprouter.daemon.http;

import org.jspecify.annotations.NullMarked;
