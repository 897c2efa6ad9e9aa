package org.auburnhoist.load;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.util.Map;
import java.util.TreeMap;

/**
 * CPU time, by thread group, and allocation of the threads of the hosts in this process. A group is the thread name
 * without its numeric suffix.
 *
 * <p>Threads of the garbage collector, the JIT compiler, the load generator and the emulators are not included.
 */
record ThreadUsage(Map<String, Long> cpuNanos, long allocatedBytes) {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    /** Returns the usage up to now. */
    static ThreadUsage now() {
        Map<String, Long> cpu = new TreeMap<>();
        long allocated = 0;
        for (long id : THREADS.getAllThreadIds()) {
            ThreadInfo info = THREADS.getThreadInfo(id);
            if (info != null && isHostThread(info.getThreadName())) {
                String group = info.getThreadName().replaceFirst("-(host-)?\\d+$", "");
                cpu.merge(group, Math.max(0, THREADS.getThreadCpuTime(id)), Long::sum);
                allocated += Math.max(0, THREADS.getThreadAllocatedBytes(id));
            }
        }
        return new ThreadUsage(cpu, allocated);
    }

    /** Returns the usage since an earlier reading. */
    ThreadUsage since(ThreadUsage earlier) {
        Map<String, Long> cpu = new TreeMap<>(cpuNanos);
        earlier.cpuNanos.forEach((group, nanos) -> cpu.merge(group, -nanos, Long::sum));
        return new ThreadUsage(cpu, allocatedBytes - earlier.allocatedBytes);
    }

    long totalCpuNanos() {
        return cpuNanos.values().stream().mapToLong(Long::longValue).sum();
    }

    private static boolean isHostThread(String name) {
        return name.startsWith("control-")
                || name.startsWith("caller-")
                || name.startsWith("upstream-io")
                || name.startsWith("proxy-timer")
                || name.startsWith("peer-")
                || name.startsWith("log-writer");
    }
}
