/** Command-line client for operators: subcommands, HTTP client of the API and output formats. */
@NullMarked
package org.hyssoprouter.pgm;

import org.jspecify.annotations.NullMarked;
