package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.auburnhoist.gateway.RestoredStoreModel.Step;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against hosts that miss a change, go back to an older configuration or a departed server, or hold different
 * lists under one position, in any order of a few changes, returns, reads and reports.
 */
class RestoredStoreModelTest {
    private static final int MAX_STEPS = 5;

    private final Logger logger = Logger.getLogger("");
    private Level level;

    @BeforeEach
    void silence() {
        level = logger.getLevel();
        logger.setLevel(Level.OFF);
    }

    @AfterEach
    void restoreLevel() {
        logger.setLevel(level);
    }

    @Test
    void noOrderOfStepsBreaksAPromise() {
        Set<String> seen = new HashSet<>();
        ArrayDeque<List<Step>> open = new ArrayDeque<>();
        open.add(List.of());
        while (!open.isEmpty()) {
            List<Step> trace = open.remove();
            RestoredStoreModel model = replay(trace);
            if (!seen.add(model.state())) {
                continue;
            }
            if (trace.size() < MAX_STEPS) {
                for (Step step : RestoredStoreModel.steps()) {
                    List<Step> next = new ArrayList<>(trace);
                    next.add(step);
                    open.add(next);
                }
            }
            model.settle();
            if (model.breach() != null) {
                fail("shortest trace: " + trace + ": " + model.breach());
            }
        }
        System.out.println("states explored, up to " + MAX_STEPS + " steps: " + seen.size());
    }

    private static RestoredStoreModel replay(List<Step> trace) {
        RestoredStoreModel model = new RestoredStoreModel();
        trace.forEach(model::apply);
        return model;
    }
}
