#include <siskinflow/admission/tenant_keys.hpp>

#include <openssl/evp.h>

#include <cstring>
#include <unordered_map>

namespace siskinflow
{

namespace
{

// Digests are uniformly distributed, so their first bytes serve as the hash.
struct digest_hash
{
    std::size_t operator()(const key_digest& digest) const noexcept
    {
        std::size_t value = 0;
        std::memcpy(&value, digest.data(), sizeof(value));
        return value;
    }
};

int hex_digit_value(char c)
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f')
    {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F')
    {
        return c - 'A' + 10;
    }
    return -1;
}

} // namespace

key_digest digest_of(std::string_view key)
{
    // Fetched once: looking up the algorithm by name on each call took longer
    // than computing the digest.
    static EVP_MD* const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    static EVP_MD_CTX* const context = EVP_MD_CTX_new();
    key_digest digest{};
    EVP_DigestInit_ex2(context, algorithm, nullptr);
    EVP_DigestUpdate(context, key.data(), key.size());
    EVP_DigestFinal_ex(context, digest.data(), nullptr);
    return digest;
}

std::optional<key_digest> parse_digest(std::string_view hex)
{
    key_digest digest{};
    if (hex.size() != 2 * digest.size())
    {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.size(); ++i)
    {
        const int high = hex_digit_value(hex[2 * i]);
        const int low = hex_digit_value(hex[2 * i + 1]);
        if (high < 0 || low < 0)
        {
            return std::nullopt;
        }
        digest[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return digest;
}

struct tenant_keys::impl
{
    std::unordered_map<key_digest, std::string, digest_hash> by_digest;
    std::size_t malformed = 0;
};

tenant_keys::tenant_keys() : impl_(std::make_unique<impl>()) {}

tenant_keys::tenant_keys(const configuration& config)
    : impl_(std::make_unique<impl>())
{
    for (const auto& organisation : config.organisations)
    {
        for (const auto& hex : organisation.key_sha256)
        {
            const auto digest = parse_digest(hex);
            if (!digest)
            {
                ++impl_->malformed;
                continue;
            }
            impl_->by_digest.emplace(*digest, organisation.name);
        }
    }
}

tenant_keys::~tenant_keys() = default;
tenant_keys::tenant_keys(tenant_keys&&) noexcept = default;
tenant_keys& tenant_keys::operator=(tenant_keys&&) noexcept = default;

const std::string* tenant_keys::find(const key_digest& digest) const
{
    const auto it = impl_->by_digest.find(digest);
    return it == impl_->by_digest.end() ? nullptr : &it->second;
}

const std::string* tenant_keys::find_key(std::string_view key) const
{
    return find(digest_of(key));
}

std::size_t tenant_keys::size() const
{
    return impl_->by_digest.size();
}

std::size_t tenant_keys::malformed() const
{
    return impl_->malformed;
}

} // namespace siskinflow
