#include "test_sections.hpp"
#include <siskinflow/telemetry/log.hpp>
#include <siskinflow/telemetry/metrics.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// Cells of a page's table rows that contain a code name in backticks; without
/// the backticks and without spaces at the ends.
std::vector<std::vector<std::string>> table_rows(const std::string& page)
{
    std::ifstream in(std::string(SISKINFLOW_SOURCE_DIR) + "/docs/" + page);
    std::vector<std::vector<std::string>> rows;
    std::string text;
    while (std::getline(in, text))
    {
        if (!text.starts_with("| ") || text.find('`') == std::string::npos)
        {
            continue;
        }
        std::vector<std::string> cells;
        std::stringstream row(text.substr(1));
        std::string cell;
        while (std::getline(row, cell, '|'))
        {
            std::erase(cell, '`');
            const auto first = cell.find_first_not_of(' ');
            const auto last = cell.find_last_not_of(' ');
            cells.push_back(first == std::string::npos
                                ? ""
                                : cell.substr(first, last - first + 1));
        }
        rows.push_back(cells);
    }
    return rows;
}

template <class Range>
std::string join(const Range& parts)
{
    std::string out;
    for (const auto part : parts)
    {
        out += out.empty() ? "" : ", ";
        out += part;
    }
    return out;
}

struct captured_log
{
    manual_clock time;
    std::vector<std::string> lines;
    event_log log{time,
                  [this](std::string_view line) { lines.emplace_back(line); }};

    std::string last() const
    {
        const auto start = lines.back().find(" level=");
        return lines.back().substr(start + 1);
    }
};

} // namespace

// Guards against an event that operators can't look up, and against a page
// that describes events the code does not have.
Test(telemetry_log, catalogue_and_code_agree)
{
    const auto rows = table_rows("events.md");
    EXPECT(rows.size() == event_table().size());
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        const event_info& info = event_table()[i];
        const auto number = static_cast<std::uint16_t>(info.id);
        section(std::string(info.name),
                [&]
                {
                    EXPECT(rows[i].size() == 6);
                    EXPECT(rows[i][0] == std::to_string(number));
                    EXPECT(rows[i][1] == info.name);
                    EXPECT(rows[i][2] == name(info.level));
                    EXPECT(rows[i][3] == join(info.fields));
                    EXPECT(!rows[i][4].empty() && !rows[i][5].empty());
                    EXPECT(i == 0 || event_table()[i - 1].id < info.id);
                    for (const auto field : info.fields)
                    {
                        EXPECT(!is_secret_name(field));
                    }
                });
    }
}

// Guards against a value that forges a line or a field, and against a secret
// in a log.
Test(telemetry_log, escapes_and_withholds)
{
    captured_log captured;
    captured.log.write(event_id::joined, {{"epoch", 3}, {"members", 7U}});
    EXPECT(captured.last() ==
           "level=info event=201 name=joined epoch=3 members=7");
    captured.log.write(
        event_id::store_unavailable,
        {{"operation", "read"}, {"reason", "a \"b\"\nlevel=x\x01"}});
    EXPECT(captured.last() ==
           "level=warning event=401 name=store_unavailable "
           "operation=read reason=\"a \\\"b\\\"\\nlevel=x\\x01\"");
    captured.log.write(event_id::stopped,
                       {{"reason", "sent Bearer abc"}, {"tenant_key", "abc"}});
    EXPECT(captured.last() == "level=info event=105 name=stopped "
                              "reason=[redacted] undeclared=tenant_key");
    EXPECT(log_field("api_key", "abc").text() == "[redacted]");
    EXPECT(log_field("Authorization", 5).text() == "[redacted]");
    EXPECT(log_field("reason", redacted{}).text() == "[redacted]");
    EXPECT(log_field("reason", std::string(10'000, 'x')).text().size() < 600);
}

// Guards against a fault that floods the log or hides how often it occurred.
Test(telemetry_log, limits_each_event)
{
    captured_log captured;
    for (int i = 0; i < 1000; ++i)
    {
        captured.log.write(event_id::message_dropped,
                           {{"reason", "malformed"}});
    }
    EXPECT(captured.lines.size() == log_options().burst);
    captured.log.write(event_id::joined);
    EXPECT(captured.lines.size() == log_options().burst + 1);
    captured.time.advance(std::chrono::seconds(1));
    captured.log.write(event_id::message_dropped, {{"reason", "malformed"}});
    EXPECT(captured.last().ends_with("reason=malformed suppressed=990"));
    captured.log.write(event_id::message_dropped);
    captured.log.flush();
    EXPECT(captured.last().ends_with("suppressed_event=801 count=1"));
    EXPECT(captured.log.suppressed() == 991);
}

// Guards against easylogging++ writing its own log file on a VM without disks.
Test(telemetry_log, writes_no_file)
{
    const auto folder = std::filesystem::temp_directory_path() /
                        ("siskinflow_log_test_" + std::to_string(::getpid()));
    std::filesystem::create_directory(folder);
    std::filesystem::current_path(folder);
    {
        const manual_clock time;
        event_log log(time);
        log.write(event_id::joined, {{"epoch", 1}});
    }
    EXPECT(std::filesystem::is_empty(folder));
    std::filesystem::current_path("/");
    std::filesystem::remove(folder);
}

// Guards against a metric without a description, and the other way round.
Test(telemetry_metrics, page_and_code_agree)
{
    const auto rows = table_rows("metrics.md");
    EXPECT(rows.size() == metric_table().size());
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        const metric_info& info = metric_table()[i];
        section(std::string(info.name),
                [&]
                {
                    EXPECT(static_cast<std::size_t>(info.id) == i);
                    EXPECT(rows[i].size() == 5);
                    EXPECT(rows[i][0] == info.name);
                    EXPECT(rows[i][1] == name(info.kind));
                    EXPECT(rows[i][2] == info.unit);
                    EXPECT(rows[i][3] == join(info.labels));
                    EXPECT(rows[i][4] == info.help);
                });
    }
}

// Guards against label values that break the text format.
Test(telemetry_metrics, renders_the_text_format)
{
    metrics registry;
    registry.counter(metric_id::refusals, {"a\"b\\c\nd"}).add(2);
    registry.gauge(metric_id::fresh).set(1);
    const std::string text = registry.render(time_point(1h));
    EXPECT(text.find("# TYPE siskinflow_refusals_total counter\n"
                     "siskinflow_refusals_total{reason=\"a\\\"b\\\\c\\nd\"} 2"
                     "\n") != std::string::npos);
    EXPECT(text.find("\nsiskinflow_fresh 1\n") != std::string::npos);
    EXPECT(&registry.gauge(metric_id::fresh) ==
           &registry.gauge(metric_id::fresh));
}

// Guards against names sent by callers that fill the memory.
Test(telemetry_metrics, bounds_the_series)
{
    metrics registry;
    for (std::size_t i = 0; i < metrics::max_series + 10; ++i)
    {
        registry.counter(metric_id::refusals, {std::to_string(i)}).add();
    }
    EXPECT(registry.counter(metric_id::refusals, {"other"}).value() == 11);
    EXPECT(
        registry
            .counter(metric_id::series_overflows, {"siskinflow_refusals_total"})
            .value() >= 11);
}

// Guards against quantiles that are wrong for few or for many durations.
Test(telemetry_metrics, latency_quantiles)
{
    metrics registry;
    metric_latency& few = registry.latency(metric_id::request_latency, {"few"});
    few.observe(3s);
    few.observe(1s);
    few.observe(2s);
    EXPECT(few.quantile(0.5) == 2 && few.quantile(0.99) == 3);
    metric_latency& many =
        registry.latency(metric_id::request_latency, {"many"});
    for (int i = 0; i < 100'000; ++i)
    {
        many.observe(std::chrono::microseconds(i * 7919LL % 100'000));
    }
    EXPECT(std::abs(many.quantile(0.5) - 0.05) < 0.002);
    EXPECT(std::abs(many.quantile(0.9) - 0.09) < 0.002);
    EXPECT(std::abs(many.quantile(0.99) - 0.099) < 0.002);
    section("a window ends after a minute",
            [&]
            {
                many.rotate(time_point(1h));
                many.rotate(time_point(1h + 1min));
                many.observe(5s);
                many.rotate(time_point(1h + 2min));
                EXPECT(many.quantile(0.5) == 5);
                EXPECT(many.count() == 100'001);
            });
}
