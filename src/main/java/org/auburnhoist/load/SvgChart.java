package org.auburnhoist.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A line chart over the seconds of an experiment, formatted as SVG.
 *
 * <pre>{@code
 * String svg = new SvgChart("CPU", "cores", 60).line("process", values).shade("store away", 10, 30).toSvg();
 * }</pre>
 */
final class SvgChart {
    private static final int WIDTH = 860;
    private static final int HEIGHT = 240;
    private static final int LEFT = 60;
    private static final int RIGHT = 170;
    private static final int TOP = 28;
    private static final int BOTTOM = 26;
    private static final int GRID_LINES = 4;
    private static final int TIME_MARKS = 6;
    private static final int LEGEND_STEP = 16;
    private static final List<String> COLOURS =
            List.of("#1b6ca8", "#c2410c", "#2e7d32", "#7b1fa2", "#8d6e00", "#00838f", "#ad1457", "#455a64");

    private final String title;
    private final String unit;
    private final double seconds;
    private final List<Line> lines = new ArrayList<>();
    private final List<Shade> shades = new ArrayList<>();
    private final List<Mark> marks = new ArrayList<>();

    private record Line(String name, List<Double> values) {}

    private record Shade(String name, double from, double until) {}

    private record Mark(String name, double second) {}

    SvgChart(String title, String unit, double seconds) {
        this.title = title;
        this.unit = unit;
        this.seconds = Math.max(1, seconds);
    }

    /** Adds a line with one value per second. */
    SvgChart line(String name, List<Double> values) {
        lines.add(new Line(name, values));
        return this;
    }

    /** Shades a time range, such as that of a fault. */
    SvgChart shade(String name, double from, double until) {
        shades.add(new Shade(name, from, until));
        return this;
    }

    /** Marks a point in time with a vertical line. */
    SvgChart mark(String name, double second) {
        marks.add(new Mark(name, second));
        return this;
    }

    /** Formats the chart as an SVG element. */
    String toSvg() {
        double maxValue = maxValue();
        StringBuilder svg = new StringBuilder();
        append(svg, "<svg viewBox=\"0 0 %d %d\" width=\"%d\" role=\"img\">%n", WIDTH, HEIGHT, WIDTH);
        append(svg, "<text x=\"%d\" y=\"16\" class=\"title\">%s (%s)</text>%n", LEFT, escape(title), escape(unit));
        for (Shade shade : shades) {
            append(
                    svg,
                    "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" class=\"fault\"><title>%s</title></rect>%n",
                    x(shade.from()),
                    TOP,
                    x(shade.until()) - x(shade.from()),
                    HEIGHT - TOP - BOTTOM,
                    escape(shade.name()));
        }
        grid(svg, maxValue);
        for (Mark mark : marks) {
            append(
                    svg,
                    "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" class=\"mark\"><title>%s</title></line>%n",
                    x(mark.second()),
                    TOP,
                    x(mark.second()),
                    HEIGHT - BOTTOM,
                    escape(mark.name()));
        }
        for (int index = 0; index < lines.size(); index++) {
            draw(svg, lines.get(index), index, maxValue);
        }
        return svg.append("</svg>\n").toString();
    }

    /** Escapes the special characters of HTML and SVG. */
    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private void grid(StringBuilder svg, double maxValue) {
        for (int step = 0; step <= GRID_LINES; step++) {
            double value = maxValue * step / GRID_LINES;
            double y = y(value, maxValue);
            append(svg, "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" class=\"grid\"/>", LEFT, y, right(), y);
            append(svg, "<text x=\"%d\" y=\"%.1f\" class=\"axis\">%.4g</text>%n", LEFT - 6, y + 4, value);
        }
        for (int step = 0; step <= TIME_MARKS; step++) {
            double second = seconds * step / TIME_MARKS;
            append(
                    svg,
                    "<text x=\"%.1f\" y=\"%d\" class=\"time\">%.0f s</text>%n",
                    x(second),
                    HEIGHT - BOTTOM + 16,
                    second);
        }
    }

    private void draw(StringBuilder svg, Line line, int index, double maxValue) {
        String colour = COLOURS.get(index % COLOURS.size());
        append(svg, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"", colour);
        for (int second = 0; second < line.values().size(); second++) {
            append(svg, "%.1f,%.1f ", x(second + 0.5), y(line.values().get(second), maxValue));
        }
        append(svg, "\"/>%n");
        append(
                svg,
                "<text x=\"%d\" y=\"%d\" fill=\"%s\" class=\"legend\">%s</text>%n",
                right() + 8,
                TOP + 12 + LEGEND_STEP * index,
                colour,
                escape(line.name()));
    }

    private double maxValue() {
        return Math.max(
                1e-9,
                lines.stream()
                        .flatMap(line -> line.values().stream())
                        .mapToDouble(Double::doubleValue)
                        .max()
                        .orElse(1));
    }

    private double x(double second) {
        double inside = Math.max(0, Math.min(seconds, second));
        return LEFT + inside / seconds * (right() - LEFT);
    }

    private static double y(double value, double maxValue) {
        return HEIGHT - BOTTOM - value / maxValue * (HEIGHT - TOP - BOTTOM);
    }

    private static int right() {
        return WIDTH - RIGHT;
    }

    private static void append(StringBuilder svg, String format, Object... values) {
        svg.append(String.format(Locale.ROOT, format, values));
    }
}
