#include "server_certificate.hpp"

#include <openssl/err.h>

namespace siskinflow::net
{

result<ssl_context> load_certificate(const http_server_options& options)
{
    ssl_context context(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(
            context.get(), options.certificate_file.c_str()) != 1)
    {
        ERR_clear_error();
        return fail(errc::invalid_argument, "certificate file '" +
                                                options.certificate_file +
                                                "' can't be used");
    }
    if (SSL_CTX_use_PrivateKey_file(context.get(), options.key_file.c_str(),
                                    SSL_FILETYPE_PEM) != 1 ||
        SSL_CTX_check_private_key(context.get()) != 1)
    {
        ERR_clear_error();
        return fail(errc::invalid_argument,
                    "key file '" + options.key_file +
                        "' can't be used with the certificate");
    }
    return context;
}

} // namespace siskinflow::net
