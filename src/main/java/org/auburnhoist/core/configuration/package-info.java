/** The applied configuration: its immutable model, its reader and its validation. */
@NullMarked
package org.auburnhoist.core.configuration;

import org.jspecify.annotations.NullMarked;
