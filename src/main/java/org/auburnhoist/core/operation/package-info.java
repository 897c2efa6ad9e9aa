/** Operation ids, and the records by which an operation's home grants each operation at most once. */
@NullMarked
package org.auburnhoist.core.operation;

import org.jspecify.annotations.NullMarked;
