/// @file
/// @brief Sends and runs of the requests of a soak.
#pragma once

#include "request_content.hpp"
#include <siskinflow/core/clock.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace soak
{

/// @brief One request over all sends of it. A caller may send it again under
/// its id after it was refused; the path, with its query, tells the sends
/// apart.
class request_record
{
public:
    /// @brief The request is an order, which is judged.
    void set_runs_once_at_most()
    {
        runs_once_at_most_ = true;
    }

    bool runs_once_at_most() const
    {
        return runs_once_at_most_;
    }

    void on_sent(request_content content)
    {
        sent_.push_back(std::move(content));
    }

    /// @return how the run differs from all sends; empty if it does not
    std::string on_run(const request_content& run, siskinflow::time_point now)
    {
        ++runs_[run.path];
        last_run_ = now;
        return difference(run);
    }

    /// @brief Begin of the last run.
    siskinflow::time_point last_run() const
    {
        return last_run_;
    }

    void on_refused(const std::string& path)
    {
        refused_.push_back(path);
    }

    int runs() const
    {
        int out = 0;
        for (const auto& [path, count] : runs_)
        {
            out += count;
        }
        return out;
    }

    /// @brief Whether a send has run that was refused as not run.
    bool ran_though_refused() const
    {
        for (const std::string& path : refused_)
        {
            if (runs_.count(path) != 0)
            {
                return true;
            }
        }
        return false;
    }

private:
    std::string difference(const request_content& run) const
    {
        std::string out = "ran and was never sent";
        for (const request_content& sent : sent_)
        {
            if (sent == run)
            {
                return {};
            }
            if (sent.path == run.path)
            {
                out = sent.method != run.method
                          ? "ran with another method than was sent"
                          : "ran with a body of " +
                                std::to_string(run.body_bytes) +
                                " bytes, not the one of " +
                                std::to_string(sent.body_bytes) +
                                " bytes that was sent";
            }
        }
        return out;
    }

    bool runs_once_at_most_ = false;
    siskinflow::time_point last_run_{};
    std::vector<request_content> sent_;
    std::map<std::string, int> runs_;  ///< By path.
    std::vector<std::string> refused_; ///< Paths.
};

} // namespace soak
