package cottonlock.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A line chart as inline SVG, with time spans such as faults marked behind the lines. */
public final class Chart {
    private static final int WIDTH = 860;
    private static final int HEIGHT = 190;
    private static final int LEFT_MARGIN = 56;
    private static final int BOTTOM_MARGIN = 26;
    private static final int TOP_MARGIN = 10;
    private static final int RIGHT_MARGIN = 12;

    /**
     * The palette of Okabe and Ito and a grey: distinguishable with colour vision deficiency. The
     * first five get brighter in this order, for greyscale; the fifth and sixth are about equally
     * bright.
     */
    private static final String[] COLOURS = {
        "#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#555555"
    };

    /** One line: a value for each position on the x axis; a negative value is a gap. */
    private static final class Line {
        private final String name;
        private final double[] values;

        Line(String name, double[] values) {
            this.name = name;
            this.values = values;
        }
    }

    private final String title;
    private final String unit;
    private final double[] xs;
    private final String xUnit;
    private final List<Line> lines = new ArrayList<>();
    private final List<Mark> marks;

    /** A time span in seconds that is marked behind the lines; the label is shown as a tooltip. */
    public record Mark(double from, double to, String label) {}

    Chart(String title, String unit, double[] xs, String xUnit, List<Timeline.Entry> faults) {
        this(
                xs,
                title,
                unit,
                xUnit,
                faults.stream()
                        .map(
                                fault ->
                                        new Mark(
                                                fault.at() / 1e9,
                                                (fault.at() + fault.length()) / 1e9,
                                                fault.label()))
                        .toList());
    }

    /**
     * Creates a chart without lines.
     *
     * @param xs positions on the x axis, in ascending order
     */
    public Chart(double[] xs, String title, String unit, String xUnit, List<Mark> marks) {
        this.title = title;
        this.unit = unit;
        this.xs = xs;
        this.xUnit = xUnit;
        this.marks = marks;
    }

    /** Adds a line: a value for each position on the x axis; a negative value is a gap. */
    public Chart line(String name, double[] values) {
        lines.add(new Line(name, values));
        return this;
    }

    /** Returns the chart as an HTML figure. */
    public String svg() {
        double maxY = 0;
        for (Line line : lines) {
            for (double v : line.values) {
                maxY = Math.max(maxY, v);
            }
        }
        maxY = roundUp(maxY);
        double minX = xs.length == 0 ? 0 : Math.min(0, xs[0]);
        double maxX = xs.length == 0 ? 1 : Math.max(minX + 1e-9, xs[xs.length - 1]);
        StringBuilder s =
                new StringBuilder("<figure><figcaption>")
                        .append(text(title))
                        .append(" <small>")
                        .append(text(unit))
                        .append("</small></figcaption>\n<svg viewBox=\"0 0 ")
                        .append(WIDTH)
                        .append(' ')
                        .append(HEIGHT)
                        .append("\" role=\"img\" aria-label=\"")
                        .append(text(title))
                        .append("\">\n");
        for (Mark mark : marks) {
            double from = x(Math.min(maxX, mark.from), minX, maxX);
            double to = x(Math.min(maxX, mark.to), minX, maxX);
            s.append(
                    String.format(
                            Locale.ROOT,
                            "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" "
                                    + "class=\"fault\"><title>%s</title></rect>\n",
                            from,
                            TOP_MARGIN,
                            Math.max(1, to - from),
                            HEIGHT - TOP_MARGIN - BOTTOM_MARGIN,
                            text(mark.label)));
        }
        for (int i = 0; i <= 4; i++) {
            double y = y(maxY * i / 4, maxY);
            s.append(
                    String.format(
                            Locale.ROOT,
                            "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" class=\"grid\"/>"
                                    + "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>\n",
                            LEFT_MARGIN,
                            WIDTH - RIGHT_MARGIN,
                            y,
                            y,
                            LEFT_MARGIN - 6,
                            y + 4,
                            formatNumber(maxY * i / 4)));
        }
        double step = Math.max(roundUp((maxX - minX) / 12), maxX - minX > 5 ? 1 : 0);
        for (double tick = Math.ceil(minX / step) * step; tick <= maxX * 1.0000001; tick += step) {
            s.append(
                    String.format(
                            Locale.ROOT,
                            "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s</text>\n",
                            x(tick, minX, maxX),
                            HEIGHT - 8,
                            formatNumber(tick) + (tick == 0 ? "" : " " + xUnit)));
        }
        for (int i = 0; i < lines.size(); i++) {
            s.append(
                    linePath(
                            lines.get(i).values,
                            minX,
                            maxX,
                            maxY,
                            COLOURS[i % COLOURS.length],
                            i >= COLOURS.length));
        }
        s.append("</svg>\n<p class=\"key\">");
        for (int i = 0; i < lines.size(); i++) {
            s.append("<span><i style=\"background:")
                    .append(COLOURS[i % COLOURS.length])
                    .append("\"></i>")
                    .append(text(lines.get(i).name))
                    .append("</span> ");
        }
        return s.append("</p></figure>\n").toString();
    }

    private String linePath(
            double[] values, double minX, double maxX, double maxY, String colour, boolean dashed) {
        StringBuilder d = new StringBuilder();
        boolean gap = true;
        for (int i = 0; i < Math.min(values.length, xs.length); i++) {
            if (values[i] < 0) {
                gap = true;
                continue;
            }
            d.append(
                    String.format(
                            Locale.ROOT,
                            "%s%.1f %.1f",
                            gap ? "M" : "L",
                            x(xs[i], minX, maxX),
                            y(values[i], maxY)));
            gap = false;
        }
        return "<path d=\""
                + d
                + "\" stroke=\""
                + colour
                + "\""
                + (dashed ? " stroke-dasharray=\"4 3\"" : "")
                + "/>\n";
    }

    private static double x(double tick, double minX, double maxX) {
        return LEFT_MARGIN + (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) * (tick - minX) / (maxX - minX);
    }

    private static double y(double value, double maxY) {
        return HEIGHT
                - BOTTOM_MARGIN
                - (HEIGHT - TOP_MARGIN - BOTTOM_MARGIN) * Math.min(1, value / maxY);
    }

    /** Rounds up to the next 1, 1.2, 1.5, 2, 3, 4, 5, 6 or 8 times a power of ten. */
    private static double roundUp(double maxY) {
        if (maxY <= 0) {
            return 1;
        }
        double powerOfTen = Math.pow(10, Math.floor(Math.log10(maxY)));
        for (double step : new double[] {1, 1.2, 1.5, 2, 3, 4, 5, 6, 8}) {
            if (maxY <= step * powerOfTen * 1.0000001) {
                return step * powerOfTen;
            }
        }
        return 10 * powerOfTen;
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value)
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.2f" : "%.1f", value);
    }

    /** Escapes text for HTML. */
    public static String text(String raw) {
        return raw.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
