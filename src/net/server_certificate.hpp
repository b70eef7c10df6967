/// @file
/// @brief Certificate of the HTTP server.
#pragma once

#include <siskinflow/core/error.hpp>
#include <siskinflow/net/http_server.hpp>

#include <openssl/ssl.h>

#include <memory>

namespace siskinflow::net
{

using ssl_context = std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)>;

/// @brief Loads the certificate and key that the options name.
/// @return a context for TLS 1.2 or later, or `errc::invalid_argument` naming
/// the file that can't be used
result<ssl_context> load_certificate(const http_server_options& options);

} // namespace siskinflow::net
