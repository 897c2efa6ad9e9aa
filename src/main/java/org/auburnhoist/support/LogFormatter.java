package org.auburnhoist.support;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Writes each log record as one line of key=value pairs. */
public final class LogFormatter extends Formatter {
    /** A host that answers 200 requests a second writes about 60 kB/s with a line for each. */
    private static final double BYTES_PER_SECOND = 128 * 1024;

    /** Makes the process log in this format. */
    public static void install() {
        Logger root = Logger.getLogger("");
        for (Handler standard : root.getHandlers()) {
            root.removeHandler(standard);
        }
        Handler handler = new AsyncStderrHandler(BYTES_PER_SECOND);
        handler.setLevel(Level.CONFIG);
        root.setLevel(Level.CONFIG);
        handler.setFormatter(new LogFormatter());
        root.addHandler(handler);
    }

    /** Writes what is queued; for a process that is about to halt. */
    public static void flush() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.flush();
        }
    }

    /** Lines of the log that were left out since the start because the log was too large or its reader too slow. */
    public static long linesLeftOut() {
        long count = 0;
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            count += handler instanceof AsyncStderrHandler buffered ? buffered.leftOut() : 0;
        }
        return count;
    }

    /** The line of an event that the log itself reports. */
    static String line(Event event) {
        return "time=" + Instant.now() + " level=" + Level.WARNING + " " + event + "\n";
    }

    @Override
    public String format(LogRecord logged) {
        String line = "time=" + logged.getInstant() + " level=" + logged.getLevel() + " " + formatMessage(logged);
        Throwable thrown = logged.getThrown();
        return thrown == null ? line + "\n" : line + " thrown=\"" + oneLine(thrown) + "\"\n";
    }

    private static String oneLine(Throwable thrown) {
        StringWriter trace = new StringWriter();
        thrown.printStackTrace(new PrintWriter(trace, true));
        return trace.toString()
                .strip()
                .replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replaceAll("\\s*\\n\\s*", " | ");
    }
}
