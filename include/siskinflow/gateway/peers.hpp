/// @file
/// @brief The VMs of the fleet and the messages between them.
///
/// VMs of one failure domain send their state to each other. One VM of each
/// domain sums up the domain's requests and sends the sum to one VM of each
/// other domain, which passes it on inside its own. The number of messages
/// between domains then depends on the number of domains, not of VMs.
#pragma once

#include <siskinflow/control/message_type.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>
#include <siskinflow/gateway/load/load_sharing.hpp>
#include <siskinflow/net/endpoint.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::gateway
{

/// @brief Version of the messages that a VM understands.
enum class peer_protocol : std::uint8_t
{
    direct = 1, ///< Each VM sends its state to every other VM.
    domain = 2, ///< Domains exchange sums; see `domain_state`.
    loads = 3,  ///< VMs of a domain share load reports; see `peer_report`.
};

/// @brief A VM's own entry in the store.
struct vm_record
{
    std::string name;
    std::string region;
    std::string failure_domain;
    net::endpoint requests; ///< Address for callers.
    net::endpoint peers;    ///< UDP address for other VMs.
    peer_protocol protocol = peer_protocol::loads;

    bool operator==(const vm_record&) const = default;
};

/// @brief Converts a record to JSON.
std::string to_json(const vm_record& record);

/// @brief Parses the JSON of a record.
/// @return the record, or `errc::parse_error` naming the field
result<vm_record> parse_vm_record(std::string_view text);

/// @brief Requests of one organisation at one VM.
struct organisation_usage
{
    std::uint32_t organisation = 0; ///< Hash of the name.
    std::uint32_t admitted = 0;     ///< Since the VM started.
    float demand_per_s = 0;         ///< Arriving requests.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(organisation, admitted, demand_per_s);
    }
};

/// @brief State that a VM sends to the others periodically.
struct peer_state
{
    static constexpr control::message_type type =
        control::message_type::peer_state;

    std::string vm;
    bool serving = false;                   ///< Accepts new callers.
    std::vector<organisation_usage> usages; ///< Those with recent requests.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(vm, serving, usages);
    }
};

/// @brief State of a VM together with the load reports that it received from
/// targets since its last message, for the VMs of its failure domain.
struct peer_report
{
    static constexpr control::message_type type =
        control::message_type::peer_report;

    std::string vm;
    bool serving = false;                   ///< Accepts new callers.
    std::vector<organisation_usage> usages; ///< Those with recent requests.
    std::vector<shared_load> loads;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(vm, serving, usages, loads);
    }
};

/// @brief Form in which a VM gets another VM's state.
enum class state_form : std::uint8_t
{
    plain,      ///< `peer_state`
    with_loads, ///< `peer_report`
};

/// @brief Tells the VMs of the failure domain that a target is leaving.
struct target_leaving
{
    static constexpr control::message_type type =
        control::message_type::target_leaving;

    std::string target;
    std::int64_t started_at_ms = 0; ///< Of the incarnation that leaves.
    std::string vm;                 ///< That got the target's answer.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(target, started_at_ms, vm);
    }
};

/// @brief State of a failure domain that one of its VMs sends to one VM of each
/// other domain, and that this VM passes on to the VMs of its own domain.
struct domain_state
{
    static constexpr control::message_type type =
        control::message_type::domain_state;

    std::string failure_domain;
    std::uint64_t incarnation = 0; ///< Of the VM that summed up.
    bool forwarded = false;        ///< Passed on inside the receiving domain.
    /// Whether `serving` is filled in; false in further datagrams and in early
    /// reports.
    bool lists_serving = false;
    bool last = false; ///< The sender stops; another VM will sum up.
    std::vector<std::uint32_t> serving; ///< Numbers of VMs that accept callers.
    std::vector<organisation_usage> usages; ///< Sums over the domain's VMs.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(failure_domain, incarnation, forwarded, lists_serving, last,
                serving, usages);
    }
};

/// @brief Number of an organisation in `organisation_usage`.
std::uint32_t organisation_number(std::string_view name);

/// @brief Number of a VM in `domain_state`.
std::uint32_t vm_number(std::string_view name);

/// @brief Decides whose sums of a failure domain are used, so that two VMs that
/// both sum it up, for instance around a partition, are not counted twice.
class domain_senders
{
public:
    /// @brief What is known about the sender of an accepted message.
    struct accepted_sender
    {
        std::optional<duration> since_previous; ///< Empty for a new sender.
    };

    /// @brief Accepts the messages of one sender until it has been silent.
    /// @return empty if another sender is in use
    std::optional<accepted_sender> accept(const std::string& failure_domain,
                                          std::uint64_t incarnation,
                                          time_point now);

    /// @brief Accepts the next sender at once, because this one stops.
    void release(const std::string& failure_domain, std::uint64_t incarnation);

private:
    struct sender
    {
        std::uint64_t incarnation = 0;
        time_point heard_at;
    };

    std::map<std::string, sender> senders_; ///< By failure domain.
};

/// @brief Known VMs and whether they accept callers.
///
/// A VM is kept while the store lists it or its messages arrive, so an
/// unavailable store removes no VM. Lookups exclude a VM that died once it has
/// been silent, before its entry in the store expires.
class peer_table
{
public:
    explicit peer_table(vm_record self);

    const vm_record& self() const
    {
        return self_;
    }

    /// @brief Records that the store lists a VM.
    void on_listed(const vm_record& record, time_point now);

    /// @brief Records that the store no longer lists a VM.
    void on_unlisted(const std::string& name);

    /// @brief Records a message of a VM.
    void on_heard(const std::string& name, bool serving, time_point now);

    /// @brief Records a list of the VMs of another failure domain that accept
    /// callers. VMs of the domain that are not in it do not.
    void on_domain_heard(std::string_view failure_domain,
                         const std::vector<std::uint32_t>& serving,
                         time_point now);

    /// @brief Sets whether this VM accepts callers.
    void serve(bool serving)
    {
        serving_ = serving;
    }

    /// @brief Removes VMs that are neither listed nor heard.
    void expire(time_point now);

    /// @brief Record of a known VM, null if there is none.
    const vm_record* find(const std::string& name) const;

    /// @brief Whether a VM's state is part of its failure domain's sum.
    bool summed_up(const vm_record& record) const
    {
        return record.protocol >= peer_protocol::domain;
    }

    /// @brief Message addresses of the VMs that get this VM's own state: those
    /// of its failure domain, and those that do not understand sums.
    /// @param form only the VMs that get it in this form
    std::vector<net::endpoint> direct_peers(state_form form) const;

    /// @brief Message addresses of the VMs of this failure domain to which the
    /// state of another domain is passed on.
    std::vector<net::endpoint> domain_peers() const;

    /// @brief Whether this VM sums up its failure domain: the first by name of
    /// the VMs that accept callers and are heard.
    bool sums_up_domain(time_point now) const;

    /// @brief Whether this VM asks the store often and tells the others when
    /// it confirms that nothing has changed: the first by name of all VMs that
    /// accept callers and are heard.
    bool confirms_for_fleet(time_point now) const;

    /// @brief Whether this VM is one of the few of its failure domain that send
    /// the first requests to a new target; every VM chooses the same ones.
    bool introduces(std::string_view target) const;

    /// @brief Message address of the VM of this failure domain that reads the
    /// store for the others: the first by name that accepts callers and is
    /// heard.
    /// @return empty if this VM reads the store itself, because it is the one
    /// or the domain is small
    std::optional<net::endpoint> store_relay(time_point now) const;

    /// @brief Message address of one VM in each other failure domain.
    /// @param round chooses another VM of the domain each time, so that one
    /// that is dead or cut off loses few messages
    std::vector<net::endpoint> domain_contacts(std::size_t round,
                                               time_point now) const;

    /// @brief Numbers of the VMs of this failure domain that accept callers.
    std::vector<std::uint32_t> serving_in_domain(time_point now) const;

    /// @brief Number of VMs, this one included, that are listed or heard.
    std::size_t size() const
    {
        return peers_.size() + 1;
    }

    /// @brief Time between two messages to each VM of this failure domain. It
    /// grows with the domain to limit the messages that a VM receives, up to a
    /// limit within which a VM that died is still detected in time.
    duration message_interval() const;

    /// @brief Number of known failure domains, this VM's included.
    std::size_t domain_count() const;

    /// @brief Time between two messages to each other failure domain.
    duration domain_interval() const;

    /// @brief Names of all VMs, this one included, in order.
    std::vector<std::string> names() const;

    /// @brief VMs for a caller: those in its failure domain, otherwise those in
    /// its region, otherwise all. Only VMs that accept callers are returned.
    std::vector<net::endpoint> lookup(std::string_view failure_domain,
                                      std::string_view region,
                                      time_point now) const;

private:
    struct peer
    {
        vm_record record;
        bool listed = false;
        bool serving = true;
        time_point first_seen{};
        time_point last_heard{}; ///< Zero if never heard.
    };

    bool in_own_domain(const vm_record& record) const
    {
        return record.failure_domain == self_.failure_domain;
    }
    const peer* first_in_domain(time_point now) const;
    duration silence_limit(const vm_record& record) const;
    bool silent(const peer& entry, time_point now) const;
    void count_domain();

    vm_record self_;
    bool serving_ = false;
    std::map<std::string, peer> peers_;
    std::size_t domain_size_ = 1; ///< VMs of this domain, this one included.
};

} // namespace siskinflow::gateway
