#pragma once

#include <string>
#include <utility>
#include <vector>

/// One line of a plot; its points (x, y) are connected in the given order.
struct PlotSeries {
    std::string name;
    std::vector<std::pair<double, double>> points;
};

struct Plot {
    std::string title;
    std::string xLabel;
    std::string yLabel;
    std::vector<PlotSeries> series;
};

/// Renders the plot as an SVG document. Both axes are linear and start at 0.
std::string renderSvg(const Plot &plot);

/// Writes the SVG document to a file; exits with status 1 when that fails.
void writeSvg(const Plot &plot, const std::string &file);
