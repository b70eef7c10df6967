#include <siskinflow/store/confirmed_swap.hpp>

#include <nlohmann/json.hpp>

#include <memory>

namespace siskinflow
{

namespace
{

constexpr duration initial_retry_delay = std::chrono::milliseconds(50);
constexpr duration max_retry_delay = std::chrono::seconds(1);

/// @brief One compare-and-swap with its retries; kept alive by the callback of
/// its running call.
class swap_operation : public std::enable_shared_from_this<swap_operation>
{
public:
    swap_operation(store& client, confirmed_write write, duration call_timeout,
                   int attempts, delay_function schedule,
                   store::callback<store_revision> done)
        : client_(client), write_(std::move(write)),
          call_timeout_(call_timeout), attempts_left_(attempts),
          schedule_(std::move(schedule)), done_(std::move(done))
    {
        if (write_.confirmation_key.empty())
        {
            write_.confirmation_key = write_.request.key;
        }
    }

    void swap()
    {
        client_.swap(write_.request, call_timeout_,
                     [self = shared_from_this()](result<store_revision> answer)
                     { self->on_swap_reply(std::move(answer)); });
    }

private:
    void on_swap_reply(result<store_revision> answer)
    {
        const bool reply_lost =
            !answer && answer.error().code == errc::unknown_outcome;
        maybe_written_ = maybe_written_ || reply_lost;
        if (answer || !maybe_written_)
        {
            done_(std::move(answer));
            return;
        }
        read_back();
    }

    void read_back()
    {
        client_.read(write_.confirmation_key, call_timeout_,
                     [self = shared_from_this()](
                         result<std::optional<store_value>> answer)
                     { self->on_read_reply(std::move(answer)); });
    }

    void on_read_reply(result<std::optional<store_value>> answer)
    {
        if (!answer)
        {
            retry([this] { read_back(); });
            return;
        }
        const auto& value = answer.value();
        if (value && write_id_of(value->value) == write_.write_id)
        {
            done_(value->mod_revision);
            return;
        }
        if (confirmation_key_unchanged(value))
        {
            // The lost request may still reach the store, so only another swap
            // can determine the outcome.
            retry([this] { swap(); });
            return;
        }
        done_(overwritten_error());
    }

    /// @brief Whether the confirmation key has not been written since the
    /// expected revision.
    bool
    confirmation_key_unchanged(const std::optional<store_value>& value) const
    {
        if (write_.confirmation_key != write_.request.key)
        {
            return !value;
        }
        return (value ? value->mod_revision : 0) <= write_.request.expected;
    }

    result<store_revision> overwritten_error() const
    {
        if (write_.confirmation_key != write_.request.key)
        {
            return fail(errc::conflict, "key '" + write_.confirmation_key +
                                            "' was written by another writer");
        }
        return fail(errc::unknown_outcome,
                    "key '" + write_.request.key +
                        "' was overwritten by a later write; whether this "
                        "write took effect first is unknown");
    }

    void retry(std::function<void()> step)
    {
        if (--attempts_left_ <= 0)
        {
            done_(
                fail(errc::unknown_outcome,
                     "the reply to the write of key '" + write_.request.key +
                         "' was lost and its outcome could not be read back"));
            return;
        }
        schedule_(retry_delay_, [self = shared_from_this(),
                                 step = std::move(step)] { step(); });
        retry_delay_ = std::min(2 * retry_delay_, max_retry_delay);
    }

    store& client_;
    confirmed_write write_;
    duration call_timeout_;
    int attempts_left_;
    delay_function schedule_;
    store::callback<store_revision> done_;
    bool maybe_written_ = false;
    duration retry_delay_ = initial_retry_delay;
};

} // namespace

std::string write_id_of(std::string_view json)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object())
    {
        return {};
    }
    const auto field = document.find("write_id");
    return field != document.end() && field->is_string()
               ? field->get<std::string>()
               : std::string();
}

void confirmed_swap(store& client, confirmed_write write, duration call_timeout,
                    int attempts, delay_function schedule,
                    store::callback<store_revision> done)
{
    std::make_shared<swap_operation>(client, std::move(write), call_timeout,
                                     attempts, std::move(schedule),
                                     std::move(done))
        ->swap();
}

} // namespace siskinflow
