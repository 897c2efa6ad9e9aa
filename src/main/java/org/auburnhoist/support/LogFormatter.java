package org.auburnhoist.support;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Formats each log record as one line of key=value pairs. */
public final class LogFormatter extends Formatter {
    /** Allows one line for each request of a host that answers 200 requests per second, which is about 60 kB/s. */
    private static final double MAX_BYTES_PER_SECOND = 128 * 1024;

    /** Replaces the handlers of the root logger by one that writes this format to standard error. */
    public static void install() {
        Logger root = Logger.getLogger("");
        for (Handler defaultHandler : root.getHandlers()) {
            root.removeHandler(defaultHandler);
        }
        Handler handler = new AsyncStderrHandler(MAX_BYTES_PER_SECOND);
        handler.setLevel(Level.CONFIG);
        root.setLevel(Level.CONFIG);
        handler.setFormatter(new LogFormatter());
        root.addHandler(handler);
    }

    /** Waits until the queued lines are written; to be called before the process halts. */
    public static void flush() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.flush();
        }
    }

    /** Number of lines left out since the start because the log exceeded its rate limit or its reader was too slow. */
    public static long linesLeftOut() {
        long count = 0;
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            count += handler instanceof AsyncStderrHandler buffered ? buffered.leftOut() : 0;
        }
        return count;
    }

    /** Formats an event that the log handler itself reports, at level WARNING. */
    static String formatWarning(Event event) {
        return "time=" + Instant.now() + " level=" + Level.WARNING + " " + event + "\n";
    }

    @Override
    public String format(LogRecord logged) {
        String line = "time=" + logged.getInstant() + " level=" + logged.getLevel() + " " + formatMessage(logged);
        Throwable thrown = logged.getThrown();
        return thrown == null ? line + "\n" : line + " thrown=\"" + stackTraceOnOneLine(thrown) + "\"\n";
    }

    private static String stackTraceOnOneLine(Throwable thrown) {
        StringWriter trace = new StringWriter();
        thrown.printStackTrace(new PrintWriter(trace, true));
        return trace.toString()
                .strip()
                .replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replaceAll("\\s*\\n\\s*", " | ");
    }
}
