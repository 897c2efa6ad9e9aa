/** Stand-ins for the platform: store, host list and upstream servers, with faults that tests switch. */
@NullMarked
package org.auburnhoist.emulator;

import org.jspecify.annotations.NullMarked;
