/// @file
/// @brief What the callers of a soak send, and whether it is what runs.
#pragma once

#include "gateway_world.hpp"

#include <xxhash.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace soak
{

/// @brief Method, path with query, and body of a request.
struct request_content
{
    std::string method;
    std::string path;
    std::size_t body_bytes = 0;
    std::uint64_t body_hash = 0;

    bool operator==(const request_content&) const = default;
};

inline request_content content_of(const std::string& method,
                                  const std::string& path,
                                  const std::string& body)
{
    return {method, path, body.size(), XXH3_64bits(body.data(), body.size())};
}

/// @brief Bytes that no other request of the soak sends.
/// @param id of the request; the body begins with it
inline std::string body_of(const std::string& id, std::size_t bytes)
{
    std::string out = id + " ";
    std::mt19937_64 random(XXH3_64bits(id.data(), id.size()));
    while (out.size() < bytes)
    {
        out += std::to_string(random());
    }
    out.resize(bytes);
    return out;
}

/// @brief What was sent under one request id.
class sent_contents
{
public:
    void add(const caller_request& request)
    {
        sent_.push_back(content_of(request.method, request.path, request.body));
    }

    /// @brief How a run differs from all that was sent; empty if it does not.
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

private:
    std::vector<request_content> sent_;
};

} // namespace soak
