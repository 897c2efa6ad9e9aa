package org.auburnhoist.load;

import java.util.Locale;
import java.util.TreeMap;

/** A cost measured at several sizes, with its least-squares line. */
final class CostSeries {
    private final String name;
    private final String sizeName;
    private final String unit;
    private final TreeMap<Integer, Double> figures = new TreeMap<>();

    CostSeries(String name, String sizeName, String unit) {
        this.name = name;
        this.sizeName = sizeName;
        this.unit = unit;
    }

    void add(int size, double figure) {
        figures.put(size, figure);
    }

    double slope() {
        double meanSize = meanSize();
        double meanFigure = meanFigure();
        double covariance = 0;
        double variance = 0;
        for (var entry : figures.entrySet()) {
            covariance += (entry.getKey() - meanSize) * (entry.getValue() - meanFigure);
            variance += (entry.getKey() - meanSize) * (entry.getKey() - meanSize);
        }
        return variance == 0 ? 0 : covariance / variance;
    }

    double intercept() {
        return meanFigure() - slope() * meanSize();
    }

    /** Returns the root mean square of the differences between the figures and the line. */
    double residual() {
        double slope = slope();
        double intercept = intercept();
        double sum = 0;
        for (var entry : figures.entrySet()) {
            double difference = entry.getValue() - intercept - slope * entry.getKey();
            sum += difference * difference;
        }
        return Math.sqrt(sum / Math.max(1, figures.size()));
    }

    /** Prints one row of a table: the name, each size with its figure, and the fit. */
    void print() {
        StringBuilder cells = new StringBuilder();
        figures.forEach((size, figure) -> cells.append(cells.length() > 0 ? "; " : "")
                .append(size)
                .append(": ")
                .append(number(figure)));
        System.out.printf(
                Locale.ROOT,
                "| %s | %s | %s | %s | %s | %s | %s |%n",
                name,
                unit,
                sizeName,
                cells,
                number(intercept()),
                number(slope()),
                number(residual()));
    }

    static void printHeading(String title) {
        System.out.println();
        System.out.println("### " + title);
        System.out.println();
        System.out.println("| cost | unit | size | figures | intercept | slope | residual |");
        System.out.println("|---|---|---|---|---|---|---|");
    }

    private double meanSize() {
        return figures.keySet().stream().mapToInt(Integer::intValue).average().orElse(0);
    }

    private double meanFigure() {
        return figures.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(0);
    }

    private static String number(double value) {
        double size = Math.abs(value);
        String format = size >= 100 ? "%.0f" : size >= 1 ? "%.2f" : "%.4g";
        return String.format(Locale.ROOT, format, value);
    }
}
