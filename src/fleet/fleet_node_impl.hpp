/// @file
/// @brief Implementation of `fleet_node`; internal to the fleet.
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
        std::uint64_t last_probe = 0; ///< Newest timestamp received from it.
        std::optional<time_point> sent;
        unsigned unanswered = 0;
        bool leaving = false;
    };

    struct joining_vm
    {
        member vm;
        time_point last_requested{};
    };

    impl(fleet_options settings, fleet_dependencies given_dependencies,
         fleet_handlers event_handlers)
        : options(std::move(settings)),
          dependencies(std::move(given_dependencies)),
          callbacks(std::move(event_handlers)),
          started(dependencies.time.now()),
          freshness_state(options.self.incarnation, started, options.freshness),
          heartbeat_topology(options.self, {}, options.topology)
    {
    }

    fleet_options options;
    fleet_dependencies dependencies;
    fleet_handlers callbacks;
    time_point started;
    freshness freshness_state;
    topology heartbeat_topology;
    std::unique_ptr<distributor> value_distributor;
    std::unordered_map<incarnation_id, peer_state> peers;
    fleet_counts counts;

    std::optional<time_point> fresh_since;
    time_point record_since{};
    std::map<incarnation_id, joining_vm> joining;
    std::optional<time_point> change_since; ///< Start of the current batch.
    std::map<incarnation_id, time_point> leaving;
    /// Members whose endpoint is used by a newer process.
    std::set<incarnation_id> replaced;
    absence_tracker absences;
    std::optional<time_point> absences_as_of;
    bool writing = false;
    time_point next_write{};
    std::optional<time_point> join_sent;
    std::optional<time_point> seed_fetch_sent;
    std::optional<time_point> leave_sent;
    bool is_leaving = false;
    bool wants_removal = false;
    /// Whether the store must be read before newly stopped members are
    /// excluded.
    bool stopped_read_pending = false;
    time_point next_stopped_read{};
    std::set<incarnation_id> reported_stopped;

    const incarnation_id& self() const
    {
        return options.self.incarnation;
    }

    time_point now() const
    {
        return dependencies.time.now();
    }

    bool is_member() const
    {
        return freshness_state.record().find(self()) != nullptr;
    }

    void start();

    // --- Values ---

    void on_newer(const revision_value& value);

    void apply_record();

    /// A new process that is bound to a member's endpoint proves that the
    /// member's process has ended.
    void mark_if_replaced(const member& listed, const member& newer);

    // --- Liveness ---

    bool heard_within(const incarnation_id& id, duration limit) const;

    duration suspect_timeout() const
    {
        return heartbeat_topology.is_direct()
                   ? options.membership.suspect_after
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
        dependencies.datagrams.send(peer, control::encode(self(), body));
    }

    void send_heartbeats();

    void send_heartbeat(const planned_peer& item, peer_state& peer);

    bool missed_answer(const incarnation_id& id) const;

    void answer(const net::endpoint& to, const incarnation_id& peer,
                const heartbeat& request);

    void add_evidence(heartbeat& body, bool own_domain) const;

    void add_leaving(heartbeat& body) const;

    void apply_leaving_members(const heartbeat& body);

    /// Whether this VM leaves, or the other VM has announced that it does.
    bool is_known_leaving(const member& item) const;

    bool is_listed_as_leaving(const member& item) const;

    bool is_listed(const incarnation_id& id) const;

    void on_heartbeat(const net::endpoint& from, const incarnation_id& sender,
                      const heartbeat& body);

    void apply_statement(const incarnation_id& sender, const heartbeat& body);

    // --- Joins and removals ---

    membership_view make_view() const;

    void update_absences();

    /// Members are excluded only while this VM lacks a majority, so that an
    /// error of the VM list can't shrink an intact majority.
    void update_stopped();

    /// Reads the store before stopped members are excluded, because it may hold
    /// revisions that only they knew.
    void read_before_exclusion();

    void expire_joins();

    void change_record();

    /// The first record of a fleet, if the store has none.
    std::optional<fleet_record> creation_record() const;

    std::string make_write_id()
    {
        return to_string(
            incarnation_id{dependencies.random(), dependencies.random()});
    }

    /// At most one write is in flight. Whatever the reply, the value in the
    /// store decides: a write whose reply was lost is detected by reading it.
    void propose(fleet_record next);

    void on_written(const std::string& text,
                    const result<store_revision>& reply);

    /// The presumed writer, the next live members, and one at random.
    std::vector<net::endpoint> notice_recipients();

    void ask_to_join();

    void send_join_to_sample(const join_request& body);

    void ask_to_leave();

    /// Fetches from a random seed while this VM is not fresh: a seed may know a
    /// record when none is known here or no member answers.
    void fetch_from_seed();

    /// Forwards a notice to the member that writes records.
    template <class Notice>
    void forward(Notice notice)
    {
        const membership_view current_view = make_view();
        const member* writer = first_live_member(freshness_state, current_view,
                                                 options.membership);
        if (notice.forwarded || writer == nullptr ||
            writer->incarnation == self())
        {
            return;
        }
        notice.forwarded = true;
        dependencies.datagrams.send(writer->control,
                                    control::encode(self(), notice));
    }

    void on_join(const join_request& body);

    void on_leave(const leave_notice& body);

    // --- Distribution ---

    distribution_plan make_plan() const;

    void tick();

    template <class T, class Handler>
    bool read(const control::envelope& message, Handler handler)
    {
        auto body = control::decode_payload<T>(message);
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
