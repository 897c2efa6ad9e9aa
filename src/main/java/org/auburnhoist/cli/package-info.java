/** The command line: one executable with a subcommand for each task. */
@NullMarked
package org.auburnhoist.cli;

import org.jspecify.annotations.NullMarked;
