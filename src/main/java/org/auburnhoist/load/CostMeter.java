package org.auburnhoist.load;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.IntFunction;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * Measures CPU time and memory so that neither JIT compilation nor garbage collection dominates the figure. Times are
 * the CPU time of the calling thread, because other processes on a shared machine would lengthen elapsed times.
 */
final class CostMeter {
    private static final int BATCHES = 21;
    private static final long WARM_UP_NANOS = 150_000_000L;
    private static final long BATCH_NANOS = 3_000_000L;
    private static final long LONG_CALL_NANOS = 300_000_000L;
    private static final int HEAP_READINGS = 3;

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private CostMeter() {}

    /** Returns the median time of one call in microseconds over batches, after a warm-up; calls are numbered. */
    static double micros(LongConsumer call) {
        long number = 0;
        long calls = 0;
        long start = System.nanoTime();
        while (System.nanoTime() - start < WARM_UP_NANOS) {
            call.accept(number++);
            calls++;
        }
        long each = Math.max(1, (System.nanoTime() - start) / calls);
        long perBatch = Math.max(1, BATCH_NANOS / each);
        double[] times = new double[BATCHES];
        for (int batch = 0; batch < BATCHES; batch++) {
            long before = THREADS.getCurrentThreadCpuTime();
            for (long index = 0; index < perBatch; index++) {
                call.accept(number++);
            }
            times[batch] = (THREADS.getCurrentThreadCpuTime() - before) / 1e3 / perBatch;
        }
        return median(times);
    }

    /** Returns the median time of 3 or 9 long calls in milliseconds, after a warm-up of a third as many calls. */
    static double millis(Runnable call) {
        long start = System.nanoTime();
        call.run();
        int runs = System.nanoTime() - start > LONG_CALL_NANOS ? 3 : 9;
        for (int index = 0; index < runs / 3; index++) {
            call.run();
        }
        double[] times = new double[runs];
        for (int index = 0; index < times.length; index++) {
            long before = THREADS.getCurrentThreadCpuTime();
            call.run();
            times[index] = (THREADS.getCurrentThreadCpuTime() - before) / 1e6;
        }
        return median(times);
    }

    /** Returns the median heap bytes that each of {@code copies} objects retains. */
    static double bytesEach(int copies, IntFunction<Object> create) {
        double[] readings = new double[HEAP_READINGS];
        // The first objects load classes and fill caches, which are not part of the figure.
        oneReading(copies, create);
        for (int reading = 0; reading < HEAP_READINGS; reading++) {
            readings[reading] = oneReading(copies, create);
        }
        return median(readings);
    }

    private static double oneReading(int copies, IntFunction<Object> create) {
        Object[] kept = new Object[copies];
        try {
            long before = usedHeap();
            for (int index = 0; index < copies; index++) {
                kept[index] = create.apply(index);
            }
            return (usedHeap() - before) / (double) copies;
        } finally {
            Reference.reachabilityFence(kept);
        }
    }

    /** Returns the heap bytes that one large object retains. */
    static double bytes(Supplier<Object> create) {
        return bytesEach(1, index -> create.get());
    }

    static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        long minimum = Long.MAX_VALUE;
        for (int reading = 0; reading < HEAP_READINGS; reading++) {
            System.gc();
            minimum = Math.min(minimum, runtime.totalMemory() - runtime.freeMemory());
        }
        return minimum;
    }
}
