/// @file
/// @brief Formats an answer of the server; internal to `net`.
#pragma once

#include "output_buffer.hpp"
#include <siskinflow/net/http_types.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace siskinflow::net
{

/// @brief What the format of an answer depends on besides itself.
struct answer_context
{
    bool head_request = false;
    bool http_1_0 = false;
    bool persistent = true; ///< The connection is kept after the answer.
};

/// @brief Frames one answer: by its length, in chunks, or by the end of the
/// connection for a client of HTTP/1.0.
class answer_writer
{
public:
    bool started() const
    {
        return started_;
    }

    /// @brief Whether the connection must be closed after the answer.
    bool closes() const
    {
        return closes_;
    }

    /// @brief Formats the head. Fields that concern the connection or could end
    /// the head early are left out.
    void start(int status, const http_headers& headers,
               std::optional<std::size_t> content_length,
               const answer_context& context, output_buffer& out);

    /// @brief Frames a part. Bytes beyond the announced length are dropped.
    void write(std::string part, output_buffer& out);

    /// @brief Ends the answer.
    /// @return false if bytes of the announced length are missing
    bool finish(output_buffer& out);

private:
    enum class framing
    {
        none, ///< The answer has no body.
        length,
        chunked,
        until_close,
    };

    bool started_ = false;
    bool closes_ = false;
    framing framing_ = framing::none;
    std::size_t remaining_ = 0; ///< Of the announced length.
};

} // namespace siskinflow::net
