package org.auburnhoist.cli;

/**
 * A fault of the command line or the environment.
 *
 * @param place where it was found, such as {@code --store} or {@code AUBURNHOIST_STORE}
 * @param expected what is accepted there
 * @param found what was found there
 */
public record SettingFinding(String place, String expected, String found) {

    /** One line for the user. */
    public String describe() {
        return place + ": expected " + expected + ", found " + found;
    }
}
