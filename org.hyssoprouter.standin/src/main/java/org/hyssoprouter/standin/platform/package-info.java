/** Stand-in of the platform: table service, object store and host list. */
@NullMarked
package org.hyssoprouter.standin.platform;

import org.jspecify.annotations.NullMarked;
