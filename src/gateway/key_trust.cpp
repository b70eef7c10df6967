#include <siskinflow/gateway/key_trust.hpp>

namespace siskinflow::gateway
{

namespace
{

class unlimited_trust final : public key_trust
{
public:
    bool accepts_keys(duration /*age*/) const override
    {
        return true;
    }
};

class limited_trust final : public key_trust
{
public:
    explicit limited_trust(duration limit) : limit_(limit) {}

    bool accepts_keys(duration age) const override
    {
        return age <= limit_;
    }

private:
    duration limit_;
};

} // namespace

std::unique_ptr<key_trust> make_key_trust(std::optional<duration> limit)
{
    if (!limit)
    {
        return std::make_unique<unlimited_trust>();
    }
    return std::make_unique<limited_trust>(*limit);
}

} // namespace siskinflow::gateway
