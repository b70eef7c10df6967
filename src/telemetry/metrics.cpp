#include <siskinflow/telemetry/metrics.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace siskinflow
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> probabilities = {0.5, 0.9, 0.99};
/// The estimator has 2 * 3 + 3 markers and is undefined before each has a
/// sample; a few samples more make its first estimates plausible.
constexpr std::size_t exact_samples = 32;
constexpr duration window_length = std::chrono::minutes(1);
constexpr std::string_view overflow_value = "other";

using quantile_estimator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::extended_p_square_quantile>>;

/// Quantiles of one window: exact for the first samples, then estimated.
class latency_window
{
public:
    void add(double value)
    {
        if (count_ < exact_samples)
        {
            initial_samples_[count_] = value;
        }
        ++count_;
        estimator_(value);
    }

    std::uint64_t count() const
    {
        return count_;
    }

    double quantile(double probability) const
    {
        if (count_ == 0)
        {
            return std::numeric_limits<double>::quiet_NaN();
        }
        if (count_ > exact_samples)
        {
            return acc::quantile(estimator_,
                                 acc::quantile_probability = probability);
        }
        auto sorted = initial_samples_;
        const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count_);
        std::sort(sorted.begin(), end);
        const double rank =
            std::ceil(probability * static_cast<double>(count_));
        return sorted[static_cast<std::size_t>(rank) - 1];
    }

private:
    std::uint64_t count_ = 0;
    std::array<double, exact_samples> initial_samples_{};
    quantile_estimator estimator_{acc::extended_p_square_probabilities =
                                      probabilities};
};

} // namespace

struct metric_latency::impl
{
    latency_window current;
    std::optional<latency_window> previous;
    std::optional<time_point> current_start;
    std::uint64_t count = 0;
    double sum = 0;
};

metric_latency::metric_latency() : impl_(std::make_unique<impl>()) {}

metric_latency::~metric_latency() = default;

void metric_latency::observe(duration value)
{
    const double seconds = to_seconds(value);
    impl_->current.add(seconds);
    impl_->sum += seconds;
    ++impl_->count;
}

double metric_latency::quantile(double probability) const
{
    const latency_window& window =
        impl_->previous ? *impl_->previous : impl_->current;
    return window.quantile(probability);
}

std::uint64_t metric_latency::count() const
{
    return impl_->count;
}

double metric_latency::sum() const
{
    return impl_->sum;
}

void metric_latency::rotate(time_point now)
{
    if (!impl_->current_start)
    {
        impl_->current_start = now;
    }
    if (now - *impl_->current_start >= window_length)
    {
        impl_->previous = impl_->current;
        impl_->current = latency_window();
        impl_->current_start = now;
    }
}

namespace
{

using metric_value =
    std::variant<std::unique_ptr<metric_counter>, std::unique_ptr<metric_gauge>,
                 std::unique_ptr<metric_latency>>;

/// Series of one metric by their label values.
using series_map = std::map<std::vector<std::string>, metric_value>;

std::string format_number(double value)
{
    if (std::isnan(value))
    {
        return "NaN";
    }
    char text[32];
    const auto end = std::to_chars(text, text + sizeof(text), value);
    return std::string(text, end.ptr);
}

std::string escape_label_value(std::string_view value)
{
    std::string out;
    for (const char byte : value)
    {
        if (byte == '\\' || byte == '"')
        {
            out.push_back('\\');
            out.push_back(byte);
        }
        else if (byte == '\n')
        {
            out += "\\n";
        }
        else
        {
            out.push_back(byte);
        }
    }
    return out;
}

std::string format_labels(const metric_info& info,
                          const std::vector<std::string>& values,
                          std::string_view quantile = {})
{
    std::string out;
    const auto append = [&out](std::string_view label, std::string_view value)
    {
        out += out.empty() ? "{" : ",";
        out += label;
        out += "=\"" + escape_label_value(value) + "\"";
    };
    for (std::size_t i = 0; i < values.size(); ++i)
    {
        append(info.labels[i], values[i]);
    }
    if (!quantile.empty())
    {
        append("quantile", quantile);
    }
    return out.empty() ? out : out + "}";
}

void render_series(std::string& out, const metric_info& info,
                   const std::vector<std::string>& labels,
                   const metric_value& value)
{
    const auto append_line = [&out](std::string_view name,
                                    const std::string& text,
                                    const std::string& value_text)
    {
        out += name;
        out += text + " " + value_text + "\n";
    };
    const std::string text = format_labels(info, labels);
    if (const auto* counter =
            std::get_if<std::unique_ptr<metric_counter>>(&value))
    {
        append_line(info.name, text, std::to_string((*counter)->value()));
        return;
    }
    if (const auto* gauge = std::get_if<std::unique_ptr<metric_gauge>>(&value))
    {
        append_line(info.name, text, format_number((*gauge)->value()));
        return;
    }
    const auto& latency = std::get<std::unique_ptr<metric_latency>>(value);
    for (const double probability : probabilities)
    {
        append_line(info.name,
                    format_labels(info, labels, format_number(probability)),
                    format_number(latency->quantile(probability)));
    }
    append_line(std::string(info.name) + "_sum", text,
                format_number(latency->sum()));
    append_line(std::string(info.name) + "_count", text,
                std::to_string(latency->count()));
}

} // namespace

struct metrics::impl
{
    std::vector<series_map> families;

    template <class T>
    T& resolve(metric_id id, metric_kind kind, label_values labels)
    {
        const metric_info& info = find_metric(id);
        if (info.kind != kind || labels.size() != info.labels.size())
        {
            // A handle of another kind would corrupt the series.
            std::abort();
        }
        series_map& family = families[static_cast<std::size_t>(id)];
        std::vector<std::string> values(labels.begin(), labels.end());
        auto it = family.find(values);
        // One series is reserved for all further label values.
        if (it == family.end() && family.size() + 1 >= max_series)
        {
            count_overflow(info);
            values.assign(values.size(), std::string(overflow_value));
            it = family.find(values);
        }
        if (it == family.end())
        {
            it = family.emplace(std::move(values), std::make_unique<T>()).first;
        }
        return *std::get<std::unique_ptr<T>>(it->second);
    }

    void count_overflow(const metric_info& info)
    {
        resolve<metric_counter>(metric_id::series_overflows,
                                metric_kind::counter, {info.name})
            .add();
    }
};

metrics::metrics() : impl_(std::make_unique<impl>())
{
    impl_->families.resize(metric_table().size());
}

metrics::~metrics() = default;

metric_counter& metrics::counter(metric_id id, label_values labels)
{
    return impl_->resolve<metric_counter>(id, metric_kind::counter, labels);
}

metric_gauge& metrics::gauge(metric_id id, label_values labels)
{
    return impl_->resolve<metric_gauge>(id, metric_kind::gauge, labels);
}

metric_latency& metrics::latency(metric_id id, label_values labels)
{
    return impl_->resolve<metric_latency>(id, metric_kind::summary, labels);
}

std::string metrics::render(time_point now)
{
    std::string out;
    for (const metric_info& info : metric_table())
    {
        const series_map& family =
            impl_->families[static_cast<std::size_t>(info.id)];
        if (family.empty())
        {
            continue;
        }
        out += "# HELP ";
        out += info.name;
        out += " ";
        out += info.help;
        out += "\n# TYPE ";
        out += info.name;
        out += " ";
        out += name(info.kind);
        out += "\n";
        for (const auto& [labels, value] : family)
        {
            if (const auto* latency =
                    std::get_if<std::unique_ptr<metric_latency>>(&value))
            {
                (*latency)->rotate(now);
            }
            render_series(out, info, labels, value);
        }
    }
    return out;
}

} // namespace siskinflow
