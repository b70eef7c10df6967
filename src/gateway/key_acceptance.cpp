#include <siskinflow/gateway/key_acceptance.hpp>

namespace siskinflow::gateway
{

namespace
{

class unlimited_acceptance final : public key_acceptance
{
public:
    bool accepts_keys(duration /*age*/) const override
    {
        return true;
    }
};

class limited_acceptance final : public key_acceptance
{
public:
    explicit limited_acceptance(duration limit) : limit_(limit) {}

    bool accepts_keys(duration age) const override
    {
        return age <= limit_;
    }

private:
    duration limit_;
};

} // namespace

std::unique_ptr<key_acceptance>
make_key_acceptance(std::optional<duration> limit)
{
    if (!limit)
    {
        return std::make_unique<unlimited_acceptance>();
    }
    return std::make_unique<limited_acceptance>(*limit);
}

} // namespace siskinflow::gateway
