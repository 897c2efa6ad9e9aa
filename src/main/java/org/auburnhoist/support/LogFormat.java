package org.auburnhoist.support;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Writes each log record as one line of key=value pairs. */
public final class LogFormat extends Formatter {
    /** Makes the process log in this format. */
    public static void install() {
        Logger root = Logger.getLogger("");
        for (Handler standard : root.getHandlers()) {
            root.removeHandler(standard);
        }
        Handler handler = new BufferedErrorHandler();
        handler.setFormatter(new LogFormat());
        root.addHandler(handler);
    }

    /** Writes what is queued; for a process that is about to halt. */
    public static void flush() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.flush();
        }
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
