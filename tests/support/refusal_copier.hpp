/// @file
/// @brief Copies of refusals on a connection from a target.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @brief How the copy of a refusal is sent.
enum class copy_kind : std::uint8_t
{
    whole,          ///< In front of the next answer.
    cut,            ///< Its beginning, which runs into the next answer's head.
    idle,           ///< While no request is in progress on the connection.
    behind_interim, ///< In front of the next answer, behind an interim head.
    twice,          ///< Two in front of the next answer.
};

constexpr std::array copy_kind_names{"whole", "cut", "idle", "behind_interim",
                                     "twice"};

/// @brief Copies of the connections of a proxy, shared between threads.
struct copy_state
{
    std::atomic<unsigned> per_hundred{
        0};                       ///< Of the answers that could have one.
    std::atomic<int> refusals{0}; ///< That passed.
    /// Copies that went to the id of the request in progress.
    std::atomic<int> of_same_id{0};
    std::array<std::atomic<int>, copy_kind_names.size()> played{};
};

/// @brief Records the refusals that pass on one connection and puts copies
/// between the answers.
class refusal_copier
{
public:
    /// @param state outlives the copier
    /// @param seed of the draws
    refusal_copier(copy_state& state, std::uint64_t seed)
        : state_(state), random_(seed)
    {
    }

    /// @brief Bytes of a request pass to the target.
    void on_request()
    {
        request_in_progress_ = true;
    }

    /// @brief Bytes of the target pass to the gateway.
    /// @return the bytes to pass on; empty while a head is incomplete
    std::string on_answer(std::string_view part);

    /// @return the head that the target has begun and not ended
    std::string take_incomplete_head()
    {
        return std::exchange(head_, {});
    }

    /// @brief Whether a refusal has ended just now that is to be copied on the
    /// idle connection. Each is told once.
    bool take_idle_wish();

    /// @return a copy to send if no request is in progress; otherwise nothing
    std::string idle_copy();

private:
    struct refusal
    {
        std::string id;
        std::string head;
    };
    void on_head(std::string& out);
    std::string copy_in_front_of(std::string_view next_id);
    std::string bytes_of(copy_kind kind, const refusal& from) const;
    std::string cut_head(const refusal& from) const;
    bool chance();
    void count(copy_kind kind);

    copy_state& state_;
    std::mt19937_64 random_;
    std::vector<refusal> refusals_;
    std::string head_; ///< Of an answer, as far as it has arrived.
    std::size_t body_left_ = 0;
    bool request_in_progress_ = false;
    bool wishes_idle_copy_ = false;
    bool framing_unknown_ = false; ///< What follows is passed on unread.
};
