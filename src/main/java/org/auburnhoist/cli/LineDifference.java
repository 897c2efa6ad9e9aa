package org.auburnhoist.cli;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Finds the removed and added lines between two texts. */
final class LineDifference {
    /**
     * Maximum size of the comparison table, in cells of 4 bytes. If more are needed, the whole part between the common
     * start and end is shown as replaced.
     */
    private static final long MAX_CELLS = 4_000_000;

    private final List<String> before;
    private final List<String> after;
    private final List<String> result = new ArrayList<>();

    private LineDifference(List<String> before, List<String> after) {
        this.before = before;
        this.after = after;
    }

    /**
     * Compares two texts.
     *
     * @return removed lines as {@code -12: text} with their old number and added lines as {@code +12: text} with their
     *     new number, in order
     */
    static List<String> between(List<String> before, List<String> after) {
        LineDifference difference = new LineDifference(before, after);
        difference.compare();
        return Collections.unmodifiableList(difference.result);
    }

    private void compare() {
        int start = 0;
        int shorter = Math.min(before.size(), after.size());
        while (start < shorter && before.get(start).equals(after.get(start))) {
            start++;
        }
        int oldEnd = before.size();
        int newEnd = after.size();
        while (oldEnd > start && newEnd > start && before.get(oldEnd - 1).equals(after.get(newEnd - 1))) {
            oldEnd--;
            newEnd--;
        }
        if ((long) (oldEnd - start + 1) * (newEnd - start + 1) > MAX_CELLS) {
            replace(start, oldEnd, start, newEnd);
        } else {
            compareMiddle(start, oldEnd, newEnd);
        }
    }

    /** Reports the differences along a longest common subsequence. */
    private void compareMiddle(int start, int oldEnd, int newEnd) {
        int[][] lengths = commonSubsequenceLengths(start, oldEnd, newEnd);
        int old = start;
        int added = start;
        while (old < oldEnd && added < newEnd) {
            if (before.get(old).equals(after.get(added))) {
                old++;
                added++;
            } else if (lengths[old - start + 1][added - start] >= lengths[old - start][added - start + 1]) {
                replace(old, ++old, added, added);
            } else {
                replace(old, old, added, ++added);
            }
        }
        replace(old, oldEnd, added, newEnd);
    }

    private int[][] commonSubsequenceLengths(int start, int oldEnd, int newEnd) {
        int[][] lengths = new int[oldEnd - start + 1][newEnd - start + 1];
        for (int old = oldEnd - start - 1; old >= 0; old--) {
            for (int added = newEnd - start - 1; added >= 0; added--) {
                boolean equal = before.get(start + old).equals(after.get(start + added));
                lengths[old][added] = equal
                        ? lengths[old + 1][added + 1] + 1
                        : Math.max(lengths[old + 1][added], lengths[old][added + 1]);
            }
        }
        return lengths;
    }

    private void replace(int oldStart, int oldEnd, int newStart, int newEnd) {
        for (int line = oldStart; line < oldEnd; line++) {
            result.add("-" + (line + 1) + ": " + before.get(line));
        }
        for (int line = newStart; line < newEnd; line++) {
            result.add("+" + (line + 1) + ": " + after.get(line));
        }
    }
}
