/// @file
/// @brief State and steps of a fleet node; internal to the fleet.
#pragma once

#include <siskinflow/fleet/fleet_node.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace siskinflow
{

struct fleet_node::impl : std::enable_shared_from_this<fleet_node::impl>
{
    struct peer_state
    {
        std::uint64_t last_probe = 0; ///< Newest stamp received from it.
        std::optional<time_point> sent;
        unsigned unanswered = 0;
        bool leaving = false;
    };

    struct joining_vm
    {
        member vm;
        time_point asked{};
    };

    impl(fleet_options settings, fleet_edges edge, fleet_handlers calls)
        : options(std::move(settings)), edges(std::move(edge)),
          on(std::move(calls)), started(edges.time.now()),
          state(options.self.incarnation, started, options.freshness),
          paths(options.self, {}, options.topology)
    {
    }

    fleet_options options;
    fleet_edges edges;
    fleet_handlers on;
    time_point started;
    freshness state;
    topology paths;
    std::unique_ptr<distributor> values;
    std::unordered_map<incarnation_id, peer_state> peers;
    fleet_counts counts;

    std::optional<time_point> fresh_since;
    time_point record_since{};
    std::map<incarnation_id, joining_vm> joining;
    std::optional<time_point> change_since; ///< Start of the current batch.
    std::map<incarnation_id, time_point> leaving;
    std::set<incarnation_id> replaced; ///< Their endpoint has a new process.
    absence_tracker absences;
    std::optional<time_point> list_taken;
    bool writing = false;
    time_point next_write{};
    std::optional<time_point> joined;
    std::optional<time_point> asked_seed;
    std::optional<time_point> notice_sent;
    bool is_leaving = false;
    bool wants_removal = false;
    bool stopped_unread = false; ///< What only stopped members knew.
    time_point next_stopped_read{};
    std::set<incarnation_id> counted_stopped;

    const incarnation_id& self() const
    {
        return options.self.incarnation;
    }

    time_point now() const
    {
        return edges.time.now();
    }

    bool is_member() const
    {
        return state.record().find(self()) != nullptr;
    }

    void start();

    // --- Values ---

    void on_newer(const revision_value& value);

    void take_record();

    /// A new process that is bound to a member's endpoint proves that the
    /// member's process has ended.
    void note_replacement(const member& listed, const member& newer);

    // --- Liveness ---

    bool heard_lately(const incarnation_id& id, duration limit) const;

    duration suspicion_limit() const
    {
        return paths.is_direct() ? options.membership.suspect_after
                                 : options.membership.suspect_after_relayed;
    }

    bool usable(const incarnation_id& id) const;

    usable_check usable_now() const
    {
        return [this](const incarnation_id& id) { return usable(id); };
    }

    void track_freshness();

    // --- Heartbeats ---

    heartbeat make_heartbeat(heartbeat_kind kind) const;

    void send(const net::endpoint& peer, const heartbeat& body)
    {
        edges.datagrams.send(peer, control::encode(self(), body));
    }

    void send_heartbeats();

    void send_heartbeat(const planned_peer& item, peer_state& peer);

    bool missed_answer(const incarnation_id& id) const;

    void answer(const net::endpoint& to, const incarnation_id& peer,
                const heartbeat& asked);

    void add_evidence(heartbeat& body, bool own_domain) const;

    void add_leaving(heartbeat& body) const;

    void take_leaving(const heartbeat& body);

    /// Whether this VM leaves, or the other VM has said that it does.
    bool is_known_leaving(const member& item) const;

    bool is_listed_as_leaving(const member& item) const;

    bool is_listed(const incarnation_id& id) const;

    void on_heartbeat(const net::endpoint& from, const incarnation_id& sender,
                      const heartbeat& body);

    void take_statement(const incarnation_id& sender, const heartbeat& body);

    // --- Joins and removals ---

    membership_view view() const;

    void take_vm_list();

    /// Members leave the majority only while this VM lacks one, so that an
    /// error of the VM list can't shrink a majority that is intact.
    void update_stopped();

    /// What only stopped members knew is read before they are excluded.
    void read_for_stopped();

    void expire_joins();

    void change_record();

    /// The first record of a fleet, if the store has none.
    std::optional<fleet_record> creation_record() const;

    std::string make_write_id()
    {
        return to_string(incarnation_id{edges.random(), edges.random()});
    }

    /// At most one write is in flight. Whatever the reply, the store's own
    /// value decides: a write whose reply is lost is found by reading back.
    void propose(fleet_record next);

    void on_written(const std::string& text,
                    const result<store_revision>& reply);

    /// The presumed writer, the next live members, and one at random.
    std::vector<net::endpoint> notice_peers();

    void ask_to_join();

    void spread_join(const join_request& body);

    void ask_to_leave();

    /// While the record is unknown or nobody answers, seeds may know it.
    void ask_seed();

    /// Sends a notice on to the member that writes records.
    template <class Notice>
    void forward(Notice notice)
    {
        const membership_view seen = view();
        const member* writer =
            first_live_member(state, seen, options.membership);
        if (notice.forwarded || writer == nullptr ||
            writer->incarnation == self())
        {
            return;
        }
        notice.forwarded = true;
        edges.datagrams.send(writer->control, control::encode(self(), notice));
    }

    void on_join(const join_request& body);

    void on_leave(const leave_notice& body);

    // --- Distribution ---

    distribution_plan make_plan() const;

    void tick();

    template <class T, class Handler>
    bool read(const control::envelope& message, Handler handler)
    {
        auto body = control::read<T>(message);
        if (!body)
        {
            ++counts.malformed;
            return false;
        }
        handler(body.value());
        return true;
    }
};

} // namespace siskinflow
