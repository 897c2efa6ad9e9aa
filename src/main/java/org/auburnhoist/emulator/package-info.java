/** Emulators of the platform: store, host list and upstream servers, with faults that tests and experiments inject. */
@NullMarked
package org.auburnhoist.emulator;

import org.jspecify.annotations.NullMarked;
