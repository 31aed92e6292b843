#include "Plot.h"

#include "Measurement.h"

#include <AK/Text.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace
{

constexpr double width = 640;
constexpr double height = 400;
constexpr double left = 64;
constexpr double right = 24;
constexpr double top = 36;
constexpr double bottom = 52;
constexpr int tickCount = 5;
constexpr std::array colours{"#1f6fb4", "#c0392b", "#2e8b57", "#8e44ad", "#d68910"};

// Distance between ticks: the smallest of 1, 2 or 5 times a power of ten that gives at most tickCount intervals.
double tickStep(double maximum)
{
    const double minimumStep = std::max(maximum, 1e-9) / tickCount;
    const double power = std::pow(10, std::floor(std::log10(minimumStep)));
    for (const double factor : {1.0, 2.0, 5.0}) {
        if (factor * power >= minimumStep) {
            return factor * power;
        }
    }
    return 10 * power;
}

std::string numberText(double value)
{
    std::ostringstream text;
    text << std::setprecision(4) << value;
    return text.str();
}

std::string escape(const std::string &text)
{
    std::string escaped;
    for (const char character : text) {
        escaped += character == '&' ? "&amp;" : character == '<' ? "&lt;" : std::string(1, character);
    }
    return escaped;
}

class Canvas
{
public:
    Canvas(double maximumX, double maximumY)
        : stepX(tickStep(maximumX))
        , stepY(tickStep(maximumY))
        , endX(std::ceil(maximumX / this->stepX) * this->stepX)
        , endY(std::ceil(maximumY / this->stepY) * this->stepY)
    {
        this->out << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")" << width << R"(" height=")" << height
                  << R"(" font-family="sans-serif" font-size="12">)"
                  << "\n"
                  << R"(<rect width="100%" height="100%" fill="white"/>)"
                  << "\n";
    }

    double x(double value) const
    {
        return left + value / this->endX * (width - left - right);
    }
    double y(double value) const
    {
        return height - bottom - value / this->endY * (height - top - bottom);
    }

    void line(double x1, double y1, double x2, double y2, const char *colour)
    {
        this->out << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2 << "\" y2=\"" << y2 << "\" stroke=\"" << colour << "\"/>\n";
    }

    void text(double x, double y, const char *anchor, const std::string &content, const char *extra = "")
    {
        this->out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\"" << extra << ">" << escape(content) << "</text>\n";
    }

    void axes(const Plot &plot)
    {
        for (double value = 0; value <= this->endX + this->stepX / 2; value += this->stepX) {
            this->line(this->x(value), this->y(0), this->x(value), this->y(0) + 5, "black");
            this->text(this->x(value), this->y(0) + 18, "middle", numberText(value));
        }
        for (double value = 0; value <= this->endY + this->stepY / 2; value += this->stepY) {
            this->line(left, this->y(value), width - right, this->y(value), "#dddddd");
            this->text(left - 6, this->y(value) + 4, "end", numberText(value));
        }
        this->line(left, top, left, height - bottom, "black");
        this->line(left, height - bottom, width - right, height - bottom, "black");
        this->text(width / 2, 20, "middle", plot.title, " font-size=\"14\"");
        this->text(width / 2, height - 12, "middle", plot.xLabel);
        const std::string rotation = AK::concat(" transform=\"rotate(-90 16 ", static_cast<int>(height / 2), ")\"");
        this->text(16, height / 2, "middle", plot.yLabel, rotation.c_str());
    }

    void draw(const PlotSeries &series, size_t index)
    {
        const char *colour = colours[index % colours.size()];
        this->out << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" << colour << "\" points=\"";
        for (const auto &[pointX, pointY] : series.points) {
            this->out << this->x(pointX) << "," << this->y(pointY) << " ";
        }
        this->out << "\"/>\n";
        const double legendY = height - bottom - 14 - 16 * static_cast<double>(index);
        this->line(width - right - 24, legendY - 4, width - right - 4, legendY - 4, colour);
        this->text(width - right - 30, legendY, "end", series.name);
    }

    std::string finish()
    {
        this->out << "</svg>\n";
        return this->out.str();
    }

private:
    std::ostringstream out;
    double stepX;
    double stepY;
    double endX;
    double endY;
};

} // namespace

std::string renderSvg(const Plot &plot)
{
    double maximumX = 0;
    double maximumY = 0;
    for (const PlotSeries &series : plot.series) {
        for (const auto &[x, y] : series.points) {
            maximumX = std::max(maximumX, x);
            maximumY = std::max(maximumY, y);
        }
    }
    Canvas canvas(std::max(maximumX, 1e-9), std::max(maximumY, 1e-9));
    canvas.axes(plot);
    for (size_t i = 0; i < plot.series.size(); ++i) {
        canvas.draw(plot.series[i], i);
    }
    return canvas.finish();
}

void writeSvg(const Plot &plot, const std::string &file)
{
    std::ofstream out(file);
    out << renderSvg(plot);
    out.close();
    requireOk(out ? absl::OkStatus() : absl::UnavailableError("cannot write " + file), "plot");
}
