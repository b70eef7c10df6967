/// @file
/// @brief Parses the requests of one connection of the server; internal to
/// `net`.
#pragma once

#include "received_head.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace siskinflow::net
{

/// @brief Limits of one request.
struct request_limits
{
    std::size_t header_bytes = 64 * 1024;
    std::size_t body_bytes = 1024 * 1024;
};

/// @brief Decodes the body of one request.
class body_decoder
{
public:
    enum class state
    {
        incomplete,
        complete,
        malformed,
        too_large, ///< Of a body whose length was not announced.
    };

    body_decoder() = default;
    body_decoder(body_framing framing, std::size_t content_length,
                 std::size_t max_bytes);

    /// @brief Decodes bytes up to the end of the body.
    /// @return number of bytes used
    std::size_t consume(std::string_view input);

    state status() const
    {
        return status_;
    }

    /// @brief The decoded part of the body.
    const std::string& body() const
    {
        return body_;
    }
    std::string& body()
    {
        return body_;
    }

private:
    enum class part
    {
        data,
        data_end, ///< Line ending behind the data of a chunk.
        size_line,
        trailers,
    };

    std::size_t consume_data(std::string_view input);
    std::size_t consume_line(std::string_view input);
    void end_line();
    void begin_chunk();
    void append(std::string_view data);

    state status_ = state::complete;
    part part_ = part::data;
    body_framing framing_ = body_framing::none;
    std::size_t remaining_ = 0; ///< Of the body, or of the chunk.
    std::size_t max_bytes_ = 0;
    std::size_t trailer_bytes_ = 0;
    std::string line_;
    std::string body_;
};

/// @brief Parses one request after the other from the bytes of a connection.
class request_parser
{
public:
    enum class state
    {
        idle,     ///< Nothing of a request has arrived.
        head,     ///< A part of a head has arrived.
        body,     ///< The head has arrived; see `head`.
        complete, ///< `take` returns the request.
        refused,  ///< See `refusal`; nothing more can be parsed.
    };

    explicit request_parser(request_limits limits) : limits_(limits) {}

    /// @brief Parses bytes up to the next change to `body`, `complete` or
    /// `refused`.
    /// @return number of bytes used
    std::size_t consume(std::string_view input);

    state status() const
    {
        return status_;
    }

    /// @brief Status of the answer that refuses the request: 400, 413, 417 or
    /// 431.
    int refusal() const
    {
        return refusal_;
    }

    /// @brief The head of the present request.
    const received_head& head() const
    {
        return head_;
    }

    /// @brief Bytes kept of the present request.
    std::size_t kept_bytes() const
    {
        return text_.size() + decoder_.body().size();
    }

    /// @brief Moves the head of a complete request out and begins the next.
    /// @param body gets the body
    received_head take(std::string& body);

private:
    std::size_t consume_head(std::string_view input);
    void end_head(std::string_view text);
    void refuse(int status);

    request_limits limits_;
    state status_ = state::idle;
    int refusal_ = 0;
    std::string text_;              ///< Of a head that arrives in parts.
    std::size_t skipped_bytes_ = 0; ///< Empty lines in front of the head.
    received_head head_;
    body_decoder decoder_;
};

} // namespace siskinflow::net
