/// @file
/// @brief What the callers of a soak send.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <random>
#include <string>

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

} // namespace soak
