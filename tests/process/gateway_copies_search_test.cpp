#include "copies_search.hpp"
#include "test_sections.hpp"

#include <algorithm>
#include <condition_variable>
#include <optional>

using namespace siskinflow;
using namespace std::chrono_literals;
using namespace copies;
using test_sections::section;

// Searches for bytes of one answer that pass for proof about another request.

namespace
{

/// Bytes sent in addition to the answers; empty parts are not sent.
struct additional_bytes
{
    std::string behind_refusal; ///< In one piece with the refusal.
    std::string on_idle;        ///< After the refusal, in a piece of its own.
    std::string before_body;    ///< When the head of the next request is read.
    std::string in_front;       ///< In one piece with the next answer.
    std::string behind;         ///< In one piece with the next answer.
};

/// @param copy of the refusal
/// @param cut position in the copy
using placement = additional_bytes (*)(const std::string& copy,
                                       std::size_t cut);

additional_bytes in_front(const std::string& copy, std::size_t cut)
{
    return {{}, {}, {}, copy.substr(0, cut), {}};
}

additional_bytes in_front_twice(const std::string& copy, std::size_t cut)
{
    return {{}, {}, {}, copy + copy.substr(0, cut), {}};
}

additional_bytes cut_copy_and_whole_copy(const std::string& copy,
                                         std::size_t cut)
{
    return {{}, {}, {}, copy.substr(0, cut) + copy, {}};
}

additional_bytes without_its_beginning(const std::string& copy, std::size_t cut)
{
    return {{}, {}, {}, copy.substr(std::min(cut, copy.size())), {}};
}

additional_bytes idle(const std::string& copy, std::size_t cut)
{
    return {{}, copy.substr(0, cut), {}, {}, {}};
}

additional_bytes idle_and_in_front(const std::string& copy, std::size_t cut)
{
    const std::size_t at = std::min(cut, copy.size() / 2);
    return {{}, copy.substr(0, at), {}, copy.substr(at, copy.size() / 2), {}};
}

additional_bytes with_refusal(const std::string& copy, std::size_t cut)
{
    return {copy.substr(0, cut), {}, {}, {}, {}};
}

additional_bytes split_between_answers(const std::string& copy, std::size_t cut)
{
    const std::size_t at = std::min(cut, copy.size());
    return {copy.substr(0, at), {}, {}, copy.substr(at), {}};
}

additional_bytes split_and_cut(const std::string& copy, std::size_t cut)
{
    const std::size_t end = copy.find("maker") + 2;
    const std::size_t at = std::min(cut, end);
    return {copy.substr(0, at), {}, {}, copy.substr(at, end - at), {}};
}

additional_bytes during_body(const std::string& copy, std::size_t cut)
{
    return {{}, {}, copy.substr(0, cut), {}, {}};
}

additional_bytes during_body_and_in_front(const std::string& copy,
                                          std::size_t cut)
{
    const std::size_t end = copy.find("maker") + 2;
    const std::size_t at = std::min(cut, end);
    return {{}, {}, copy.substr(0, at), copy.substr(at, end - at), {}};
}

additional_bytes behind_next(const std::string& copy, std::size_t cut)
{
    return {{}, {}, {}, {}, copy.substr(0, cut)};
}

template <int status>
additional_bytes behind_interim(const std::string& copy, std::size_t cut)
{
    return {{},
            {},
            {},
            "HTTP/1.1 " + std::to_string(status) + " Interim\r\n\r\n" +
                copy.substr(0, cut),
            {}};
}

additional_bytes in_front_of_interim(const std::string& copy, std::size_t cut)
{
    return {{},
            {},
            {},
            copy.substr(0, cut) + "HTTP/1.1 103 Early Hints\r\nserver: m\r\n",
            {}};
}

/// The fields of the copy in an interim head.
additional_bytes as_interim(const std::string& copy, std::size_t /*cut*/)
{
    const std::size_t fields = copy.find("\r\n");
    return {{}, {}, {}, "HTTP/1.1 103 Early Hints" + copy.substr(fields), {}};
}

additional_bytes line_between(const std::string& copy, std::size_t cut,
                              const std::string& bytes)
{
    return {{}, {}, {}, copy.substr(0, cut) + bytes, {}};
}

additional_bytes with_bare_cr(const std::string& copy, std::size_t cut)
{
    return line_between(copy, cut, "\r");
}

additional_bytes with_nul(const std::string& copy, std::size_t cut)
{
    return line_between(copy, cut, std::string(1, '\0'));
}

additional_bytes with_lf(const std::string& copy, std::size_t cut)
{
    return line_between(copy, cut, "\n");
}

additional_bytes with_fold(const std::string& copy, std::size_t cut)
{
    return line_between(copy, cut, "\r\n ");
}

additional_bytes with_colon(const std::string& copy, std::size_t cut)
{
    return line_between(copy, cut, ":");
}

enum class cuts : std::uint8_t
{
    whole,  ///< The copy is not cut.
    middle, ///< Inside a field between the proof and the id.
    every,  ///< At each position in turn.
};

/// What is special about the requests of a case.
enum class traffic : std::uint8_t
{
    plain,
    with_body,           ///< Orders have a large body.
    refused_before_body, ///< So have these, and refusals do not wait for it.
    head_method,         ///< Orders are sent with the method HEAD.
    reads_refused,       ///< Idempotent requests are refused, not orders.
    caller_leaves,       ///< Before the refusal arrives.
};

struct copy_case
{
    std::string name;
    std::string (*refusal)(const std::string& id);
    placement copies;
    std::string (*answer)(const std::string& id);
    cuts cut = cuts::middle;
    traffic kind = traffic::plain;
};

/// A copy of one refusal: a case and, if it is cut, the position.
struct copy_item
{
    const copy_case* played = nullptr;
    std::size_t cut = no_cut;
};

std::vector<copy_item> items_of(const copy_case& played)
{
    constexpr int plays_of_one_cut = 6;
    const std::string copy = played.refusal("order-000-00000");
    std::vector<copy_item> out;
    if (played.cut == cuts::every)
    {
        for (std::size_t cut = 0; cut <= copy.size(); ++cut)
        {
            out.push_back({&played, cut});
        }
        return out;
    }
    const std::size_t cut =
        played.cut == cuts::whole ? no_cut : copy.find("maker") + 2;
    out.assign(plays_of_one_cut, {&played, cut});
    return out;
}

/// Answers of all targets. On each connection some requests are served, the
/// next one is refused, and the next after that is answered with additional
/// bytes. Each refusal plays one item.
class copy_player
{
public:
    /// How long the answer of a refusal that the caller does not await takes.
    static constexpr std::chrono::milliseconds refusal_delay{200};

    void begin(std::vector<copy_item> items, traffic kind)
    {
        const std::lock_guard lock(mutex_);
        kind_ = kind;
        items_ = std::move(items);
        next_ = 0;
        probed_ = 0;
        connections_.clear();
    }

    std::string on_head(const raw_target::request& arrived)
    {
        const std::lock_guard lock(mutex_);
        connection_state& at = state(arrived);
        if (at.item)
        {
            return at.bytes.before_body;
        }
        if (kind_ != traffic::refused_before_body || !is_refused(at, arrived))
        {
            return {};
        }
        return take_item(at, arrived);
    }

    raw_target::reply answer(const raw_target::request& arrived)
    {
        if (leaves_before_refusal(arrived))
        {
            std::this_thread::sleep_for(refusal_delay);
        }
        const std::lock_guard lock(mutex_);
        connection_state& at = state(arrived);
        if (at.refused && is_order(arrived))
        {
            return answer_with_additional_bytes(at, arrived);
        }
        if (!at.item && is_refused(at, arrived))
        {
            return refuse(at, take_item(at, arrived));
        }
        if (at.item && !at.refused)
        {
            return refuse(at, {}); // The refusal was sent with the head.
        }
        ++at.served;
        return arrived.method == "HEAD" ? head_only(arrived.id)
                                        : served(arrived.id);
    }

    std::size_t refused()
    {
        const std::lock_guard lock(mutex_);
        return next_;
    }

    std::size_t probed()
    {
        const std::lock_guard lock(mutex_);
        return probed_;
    }

    /// The item with whose bytes an order was answered first.
    std::optional<copy_item> item_of(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        const auto found = by_order_.find(id);
        return found == by_order_.end() ? std::nullopt
                                        : std::optional(found->second);
    }

private:
    struct connection_state
    {
        int served = 0;
        std::optional<copy_item> item;
        bool refused = false;
        additional_bytes bytes;
    };

    static bool caller_leaves(const raw_target::request& arrived)
    {
        return arrived.id.starts_with("leave");
    }

    static bool is_order(const raw_target::request& arrived)
    {
        return arrived.method != "GET";
    }

    connection_state& state(const raw_target::request& arrived)
    {
        return connections_[{arrived.port, arrived.connection}];
    }

    bool is_refused(const connection_state& at,
                    const raw_target::request& arrived) const
    {
        // Targets that fail more often than this get no requests for a while.
        constexpr int served_before_refusal = 3;
        const bool kind_matches =
            is_order(arrived) != (kind_ == traffic::reads_refused) &&
            caller_leaves(arrived) == (kind_ == traffic::caller_leaves);
        return at.served >= served_before_refusal && kind_matches &&
               next_ < items_.size();
    }

    bool leaves_before_refusal(const raw_target::request& arrived)
    {
        const std::lock_guard lock(mutex_);
        connection_state& at = state(arrived);
        return kind_ == traffic::caller_leaves && !at.item &&
               is_refused(at, arrived);
    }

    /// @return the refusal
    std::string take_item(connection_state& at,
                          const raw_target::request& arrived)
    {
        const copy_item item = items_[next_++];
        const std::string refusal = item.played->refusal(arrived.id);
        at.item = item;
        at.bytes = item.played->copies(refusal, item.cut);
        return refusal;
    }

    static raw_target::reply refuse(connection_state& at,
                                    const std::string& refusal)
    {
        at.refused = true;
        raw_target::reply out(refusal + at.bytes.behind_refusal, false);
        out.late_bytes = at.bytes.on_idle;
        out.late_after = 1ms;
        return out;
    }

    raw_target::reply
    answer_with_additional_bytes(connection_state& at,
                                 const raw_target::request& arrived)
    {
        ++probed_;
        const connection_state played = std::exchange(at, {});
        by_order_.emplace(arrived.id, *played.item);
        return played.bytes.in_front + played.item->played->answer(arrived.id) +
               played.bytes.behind;
    }

    std::mutex mutex_;
    traffic kind_ = traffic::plain;
    std::vector<copy_item> items_;
    std::size_t next_ = 0;
    std::size_t probed_ = 0;
    std::map<std::pair<std::uint16_t, int>, connection_state> connections_;
    std::map<std::string, copy_item> by_order_;
};

/// A gateway and the targets of all cases of a test.
struct search_fleet
{
    /// A target that has refused is not used for some time.
    static constexpr int size = 120;
    /// Less than a large body.
    static constexpr int receive_buffer = 4096;

    search_fleet() : world(1)
    {
        // Reads and orders go to the same targets.
        world.configure({{"service", "orders"}});
        EXPECT(world.start_all());
        for (int i = 0; i < size; ++i)
        {
            targets.push_back(std::make_unique<raw_target>(
                [this](const raw_target::request& arrived)
                { return player.answer(arrived); },
                [this](const raw_target::request& arrived)
                { return player.on_head(arrived); },
                receive_buffer));
            world.add_entry("raw-" + std::to_string(i), "orders",
                            targets.back()->port());
        }
        world.run_for(1000ms);
    }

    int runs(const std::string& id) const
    {
        return runs_at(targets, id);
    }

    int repeated_on_connection() const
    {
        return repeats_at(targets);
    }

    caller_request next_request(traffic kind)
    {
        constexpr std::size_t large_body = 60000;
        char number[24];
        std::snprintf(number, sizeof(number), "-000-%05d", ++last_order_);
        const bool leaves =
            kind == traffic::caller_leaves && last_order_ % 2 == 0;
        caller_request out =
            order((leaves ? std::string("leave") : "order") + number);
        if (kind == traffic::reads_refused && last_order_ % 2 == 0)
        {
            out.method = "GET";
            out.path = "/maps/1";
        }
        if (kind == traffic::head_method)
        {
            out.method = "HEAD";
        }
        if (kind == traffic::with_body || kind == traffic::refused_before_body)
        {
            out.body = std::string(large_body, 'b');
        }
        return out;
    }

    /// Sends requests until all items are played.
    void play(std::vector<copy_item> items, traffic kind)
    {
        constexpr std::size_t concurrent = 12;
        constexpr auto limit = 20s;
        const std::size_t count = items.size();
        player.begin(std::move(items), kind);
        int last_refusal_orders = 0;
        std::size_t refused = 0;
        // After the last refusal, the answers with additional bytes are due.
        const auto is_done = [&]
        {
            constexpr int orders_after_last_refusal = 6 * size;
            if (refused != player.refused())
            {
                refused = player.refused();
                last_refusal_orders = last_order_;
            }
            return refused == count && (player.probed() == count ||
                                        last_order_ - last_refusal_orders >
                                            orders_after_last_refusal);
        };
        const bool done = world.until(
            [&]
            {
                while (!is_done() && running_.size() < concurrent)
                {
                    start(next_request(kind));
                }
                return is_done();
            },
            limit);
        world.until([&] { return running_.empty(); });
        for (const auto& [request, got] : std::exchange(answered_, {}))
        {
            judge(request, got);
        }
        std::printf("%zu of %zu items refused, %zu probed\n", player.refused(),
                    count, player.probed());
        EXPECT(done);
    }

    void start(const caller_request& request)
    {
        running_[request.id] =
            world.send(0, request,
                       [this, request](const net::fetch_result& got)
                       {
                           if (request.method != "GET")
                           {
                               answered_.emplace_back(request, got);
                           }
                           running_.erase(request.id);
                       });
        if (request.id.starts_with("leave"))
        {
            world.caller().loop().after(copy_player::refusal_delay / 4,
                                        [this, request]
                                        {
                                            running_.erase(request.id);
                                            answered_.emplace_back(
                                                request, net::fetch_result{});
                                        });
        }
    }

    /// Compares an answer with what the targets have done when all requests
    /// have ended, so that a late run counts.
    void judge(const caller_request& request, const net::fetch_result& got)
    {
        broken_counts& out = counts_of(request.id);
        out.answered += 1;
        const broken_counts before = out;
        const int ran = runs(request.id);
        out.ran_twice += ran > 1 ? 1 : 0;
        out.ran_though_refused += is_refused(got) && ran > 0 ? 1 : 0;
        out.not_whole += is_not_whole(got, request) ? 1 : 0;
        const auto item = player.item_of(request.id);
        if (item && out.total() > before.total())
        {
            out.cuts.insert(item->cut);
        }
    }

    broken_counts& counts_of(const std::string& id)
    {
        const auto item = player.item_of(id);
        return counts_[item ? item->played : nullptr];
    }

    /// Plays all cases and prints each, then expects that none is broken.
    void play_all(const std::vector<copy_case>& cases)
    {
        std::map<traffic, std::vector<copy_item>> items;
        for (const copy_case& played : cases)
        {
            const auto added = items_of(played);
            auto& of_kind = items[played.kind];
            of_kind.insert(of_kind.end(), added.begin(), added.end());
        }
        for (const auto& [kind, list] : items)
        {
            play(list, kind);
        }
        std::string broken;
        for (const copy_case& played : cases)
        {
            counts_[&played].print(played.name);
            broken += counts_[&played].total() > 0 ? played.name + "; " : "";
        }
        counts_[nullptr].print("answers without additional bytes");
        broken += counts_[nullptr].total() > 0 ? "without; " : "";
        section("broken: " + broken, [&] { EXPECT(broken.empty()); });
        EXPECT(repeated_on_connection() == 0);
    }

    copy_player player;
    gateway_world world;
    std::vector<std::unique_ptr<raw_target>> targets;

private:
    int last_order_ = 0;
    std::map<std::string, std::shared_ptr<net::http_call>> running_;
    std::vector<std::pair<caller_request, net::fetch_result>> answered_;
    std::map<const copy_case*, broken_counts> counts_;
};

const std::vector<copy_case> cases_by_position = {
    {"in front of a failure", refused_503, in_front, failed, cuts::every},
    {"in front of a success", refused_503, in_front, served, cuts::every},
    {"a copy of a 421 of another target", refused_421_of_another, in_front,
     failed, cuts::every},
    {"a copy whose id comes first", refused_id_first, in_front, failed,
     cuts::every},
    {"a copy with a body", refused_with_body, in_front, failed, cuts::every},
    {"a second copy, cut", refused_503, in_front_twice, failed, cuts::every},
    {"a cut copy and a whole one", refused_503, cut_copy_and_whole_copy, failed,
     cuts::every},
    {"a copy without its beginning", refused_503, without_its_beginning, failed,
     cuts::every},
    {"behind an interim head", refused_503, behind_interim<103>, failed,
     cuts::every},
    {"with the refusal", refused_503, with_refusal, failed, cuts::every},
    {"split between the answers", refused_503, split_between_answers, failed,
     cuts::every},
    {"split between the answers and cut", refused_503, split_and_cut, failed,
     cuts::every},
    {"in the middle of a body", refused_503, during_body, failed, cuts::every,
     traffic::with_body},
};

const std::vector<copy_case> cases_by_refusal = {
    {"429", refused_429, in_front, failed},
    {"421", refused_421, in_front, failed},
    {"400", refused_400, in_front, failed},
    {"400 in front of a success", refused_400, in_front, served, cuts::every},
    {"408", refused_408, in_front, failed},
    {"500", refused_500, in_front, failed},
    {"500 in front of a success", refused_500, in_front, served},
    {"signed", refused_signed, in_front, failed},
    {"200", refused_200, in_front, failed},
    {"200 in front of a success", refused_200, in_front, served},
    {"in chunks", refused_in_chunks, in_front, failed},
    {"without proof", refused_without_proof, in_front, failed},
    {"HTTP/1.0", refused_http_1_0, in_front, failed},
    {"folded line", refused_folded, in_front, failed, cuts::every},
    {"lines that end with LF", refused_lf_only, in_front, failed},
    {"proof said twice", refused_twice_said, in_front, failed},
};

const std::vector<copy_case> cases_by_place = {
    {"idle, whole", refused_503, idle, failed, cuts::whole},
    {"idle, cut", refused_503, idle, failed},
    {"idle and in front", refused_503, idle_and_in_front, failed},
    {"with the refusal, whole", refused_503, with_refusal, failed, cuts::whole},
    {"in front of a success, whole", refused_503, in_front, served,
     cuts::whole},
    {"behind a 100", refused_503, behind_interim<100>, failed},
    {"behind a 102", refused_503, behind_interim<102>, failed},
    {"behind a 103, whole", refused_503, behind_interim<103>, served,
     cuts::whole},
    {"in front of an interim head", refused_503, in_front_of_interim, failed},
    {"in front of an interim head with the id", refused_503, in_front,
     failed_behind_interim},
    {"a copy with a length in front of an interim head with the id",
     refused_length_first, in_front, failed_behind_interim},
    {"as an interim head", refused_503, as_interim, failed},
    {"behind a failure", refused_503, behind_next, failed},
    {"behind a failure, whole", refused_503, behind_next, failed, cuts::whole},
    {"behind a failure in chunks", refused_503, behind_next, failed_in_chunks},
    {"behind a failure without a length", refused_503, behind_next,
     failed_without_length},
    {"behind a success", refused_503, behind_next, served},
    {"behind a success in chunks", refused_503, behind_next, served_in_chunks,
     cuts::whole},
    {"behind a success without a body", refused_503, behind_next,
     served_without_body, cuts::whole},
    {"behind a success that ends with its connection", refused_503, behind_next,
     served_until_close},
    {"in the gap of a body", refused_503, behind_next, served_in_part,
     cuts::whole},
    {"in the gap of a chunk", refused_503, behind_next, served_in_part_of_chunk,
     cuts::whole},
    {"in front of a success in chunks", refused_503, in_front,
     served_in_chunks},
    {"in front of a success without a body", refused_503, in_front,
     served_without_body},
    {"in front of a failure in chunks", refused_503, in_front,
     failed_in_chunks},
    {"in front of a failure without a length", refused_503, in_front,
     failed_without_length},
    {"joined by a bare CR", refused_503, with_bare_cr, failed},
    {"joined by NUL", refused_503, with_nul, failed},
    {"joined by LF", refused_503, with_lf, failed},
    {"joined by a folded line", refused_503, with_fold, failed},
    {"joined by a colon", refused_503, with_colon, failed},
};

const std::vector<copy_case> cases_by_traffic = {
    {"during the body and in front", refused_503, during_body_and_in_front,
     failed, cuts::middle, traffic::with_body},
    {"during the body, whole", refused_503, during_body, served, cuts::whole,
     traffic::with_body},
    {"refused before the body", refused_503, in_front, failed, cuts::middle,
     traffic::refused_before_body},
    {"refused before the body, then idle", refused_503, idle, failed,
     cuts::middle, traffic::refused_before_body},
    {"refused before the body, then during the next one", refused_503,
     during_body, failed, cuts::middle, traffic::refused_before_body},
    {"HEAD", refused_503, in_front, failed, cuts::middle, traffic::head_method},
    {"HEAD, in front of a success", refused_503, in_front, head_only,
     cuts::whole, traffic::head_method},
    {"HEAD, with the refusal", refused_with_body, split_between_answers, failed,
     cuts::middle, traffic::head_method},
    {"HEAD, behind", refused_503, behind_next, head_only, cuts::middle,
     traffic::head_method},
    {"reads are refused", refused_503, in_front, failed, cuts::middle,
     traffic::reads_refused},
    {"reads are refused with 421", refused_421_of_another, in_front, failed,
     cuts::middle, traffic::reads_refused},
    {"the caller leaves", refused_503, in_front, failed, cuts::middle,
     traffic::caller_leaves},
    {"the caller leaves, whole copy", refused_503, idle, served, cuts::whole,
     traffic::caller_leaves},
};

} // namespace

// Guards against a part of a copied refusal that joins the head of the next
// answer, or takes its place (TWICE, REFUSED, MIXED).
Test(gateway_copies_search, copies_cut_at_every_position)
{
    search_fleet fleet;
    fleet.play_all(cases_by_position);
}

// Guards against refusals after which the connection is used again, because
// the gateway does not take them for refusals (TWICE, REFUSED, MIXED).
Test(gateway_copies_search, copies_of_each_kind_of_refusal)
{
    search_fleet fleet;
    fleet.play_all(cases_by_refusal);
}

// Guards against copied refusals at each place in the bytes of a connection
// (TWICE, REFUSED, MIXED).
Test(gateway_copies_search, copies_at_each_place)
{
    search_fleet fleet;
    fleet.play_all(cases_by_place);
}

// Guards against copied refusals of and among requests with large bodies, of
// other methods, and of callers that leave (TWICE, REFUSED, MIXED).
Test(gateway_copies_search, copies_in_each_kind_of_traffic)
{
    search_fleet fleet;
    fleet.play_all(cases_by_traffic);
}
