#include "tool/report_page.h"

#include <inttypes.h>

/* Lengths in CSS pixels. */
#define PLOT_WIDTH 640.0
#define PLOT_HEIGHT 140.0
#define PLOT_LEFT 48.0
#define PLOT_TOP 10.0
#define MIN_AXIS_BURN 2.0 /* the burn-rate axis covers at least 0 to this */

static const char head[] =
    "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Error-budget burn"
    "</title>\n<style>\n"
    "body{font:15px/1.5 sans-serif;margin:2em auto;max-width:760px;color:#222}\n"
    "table{border-collapse:collapse;margin:.6em 0}\n"
    "td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}\n"
    "td:first-child,th:first-child{text-align:left}\n"
    ".bad{color:#b00020;font-weight:bold}\n"
    "svg{background:#fafafa;border:1px solid #ddd}\n"
    "</style></head><body>\n<h1>Error-budget burn</h1>\n"
    "<p>At a burn rate of 1 the error rate is exactly the one that the objective allows. Bad "
    "requests are those with the outcome not run or unknown.</p>\n";

static double interval_burn_rate(const struct burn_objective *burn, uint32_t index)
{
    const struct burn_interval *interval = &burn->intervals[index];
    if (!interval->requests)
        return 0;
    return (double)interval->bad / (double)interval->requests / (1 - burn->objective.availability);
}

static double find_axis_max(const struct burn_objective *burn)
{
    double axis_max = MIN_AXIS_BURN;
    for (uint32_t i = 0; i < burn->interval_count; i++)
        if (interval_burn_rate(burn, i) > axis_max)
            axis_max = interval_burn_rate(burn, i);
    return axis_max;
}

static double plot_y(double value, double axis_max)
{
    return PLOT_TOP + PLOT_HEIGHT * (1 - value / axis_max);
}

static void print_axis(FILE *stream, double axis_max, double seconds)
{
    fprintf(stream,
            "<line x1=\"%.0f\" x2=\"%.0f\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#b00020\" "
            "stroke-dasharray=\"4 3\"/>\n",
            PLOT_LEFT, PLOT_LEFT + PLOT_WIDTH, plot_y(1, axis_max), plot_y(1, axis_max));
    fprintf(stream,
            "<g font-size=\"11\" fill=\"#555\"><text x=\"4\" y=\"%.1f\">%.1f</text>"
            "<text x=\"4\" y=\"%.1f\">1</text><text x=\"4\" y=\"%.1f\">0</text>"
            "<text x=\"%.0f\" y=\"%.1f\">0 s</text><text x=\"%.0f\" y=\"%.1f\" "
            "text-anchor=\"end\">%.0f s</text></g>\n",
            plot_y(axis_max, axis_max) + 8, axis_max, plot_y(1, axis_max) + 4, plot_y(0, axis_max),
            PLOT_LEFT, PLOT_TOP + PLOT_HEIGHT + 16, PLOT_LEFT + PLOT_WIDTH,
            PLOT_TOP + PLOT_HEIGHT + 16, seconds);
}

static void print_plot(FILE *stream, const struct burn_objective *burn)
{
    double axis_max = find_axis_max(burn);
    double seconds = burn->interval_count ? burn->intervals[burn->interval_count - 1].seconds : 1;
    fprintf(
        stream,
        "<svg width=\"%.0f\" height=\"%.0f\" role=\"img\" aria-label=\"burn rate over time\">\n",
        PLOT_LEFT + PLOT_WIDTH + 16, PLOT_TOP + PLOT_HEIGHT + 24);
    print_axis(stream, axis_max, seconds);
    fputs("<polyline fill=\"none\" stroke=\"#1a5fb4\" stroke-width=\"2\" points=\"", stream);
    for (uint32_t i = 0; i < burn->interval_count; i++)
        fprintf(stream, "%.1f,%.1f ",
                PLOT_LEFT + PLOT_WIDTH * burn->intervals[i].seconds / (seconds > 0 ? seconds : 1),
                plot_y(interval_burn_rate(burn, i), axis_max));
    fputs("\"/>\n</svg>\n", stream);
}

static const char *css_class(double burn)
{
    return burn > 1 ? " class=\"bad\"" : "";
}

static void print_objective(FILE *stream, const struct burn_objective *burn)
{
    const struct objective_config *objective = &burn->objective;
    fprintf(stream, "<h2>%s, %s</h2>\n", objective->service,
            objective->tenant[0] ? objective->tenant : "all tenants");
    fprintf(stream,
            "<p>Objective: %.3f %% of requests, first token within %u ms for 95 in 100. "
            "%" PRIu64 " requests, %" PRIu64 " bad, %" PRIu64
            " slow; <span%s>%.1f %% of the error budget left</span>.</p>\n",
            100 * objective->availability, objective->first_token_ms, burn->requests, burn->bad,
            burn->slow, burn->budget_left < 0 ? " class=\"bad\"" : "", 100 * burn->budget_left);
    print_plot(stream, burn);
    fputs("<table><tr><th>window</th><th>requests</th><th>availability burn</th>"
          "<th>first-token burn</th></tr>\n",
          stream);
    for (uint32_t i = 0; i < burn->window_count; i++) {
        const struct burn_window *window = &burn->windows[i];
        fprintf(stream,
                "<tr><td>%.0f s</td><td>%" PRIu64 "</td><td%s>%.2f</td><td%s>%.2f</td></tr>\n",
                window->seconds, window->requests, css_class(window->availability_burn),
                window->availability_burn, css_class(window->latency_burn), window->latency_burn);
    }
    fputs("</table>\n", stream);
}

void report_page_print(FILE *stream, const struct burn_objective *burns, uint32_t count)
{
    fputs(head, stream);
    for (uint32_t i = 0; i < count; i++)
        print_objective(stream, &burns[i]);
    fputs("</body></html>\n", stream);
}
