/// @file
/// @brief Messages between VMs on liveness, membership and distributed values.
#pragma once

#include <siskinflow/control/message_type.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/fleet/fleet_record.hpp>
#include <siskinflow/fleet/freshness.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace siskinflow
{

/// @brief What a heartbeat asks for.
enum class heartbeat_kind : std::uint8_t
{
    direct = 0,   ///< No answer; the peer sends its own heartbeats.
    request = 1,  ///< An answer with all evidence that the receiver holds.
    exchange = 2, ///< An answer with the evidence of the receiver's domain.
    answer = 3,   ///< No answer; it answers one of the other kinds.
    probe = 4,    ///< An answer without relayed evidence.
};

/// @brief Probe, statement and, in an answer, relayed evidence.
struct heartbeat
{
    static constexpr control::message_type type =
        control::message_type::heartbeat;

    heartbeat_kind kind = heartbeat_kind::direct;
    bool caught_up = false;     ///< See `freshness::is_caught_up`.
    bool leaving = false;       ///< Whether the sender leaves the fleet.
    std::uint64_t probe_ns = 0; ///< Sender's clock.
    std::uint64_t echo_ns = 0;  ///< Newest probe of `echo_of`; 0 for none.
    incarnation_id echo_of;
    known_revisions revisions;
    /// Fleet revision that defines the order of the bits below.
    store_revision order_revision = 0;
    std::vector<evidence_group> evidence;
    std::vector<evidence_group> leaving_members; ///< Bitmaps only.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, caught_up, leaving, probe_ns, echo_ns, echo_of, revisions,
                order_revision, evidence, leaving_members);
    }
};

/// @brief Asks the first live member to add a VM to the record.
struct join_request
{
    static constexpr control::message_type type =
        control::message_type::join_request;

    member joining;
    bool forwarded = false; ///< By a member; not forwarded again.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(joining, forwarded);
    }
};

/// @brief Asks the first live member to remove a VM from the record.
struct leave_notice
{
    static constexpr control::message_type type =
        control::message_type::leave_notice;

    incarnation_id leaving;
    bool forwarded = false; ///< By a member; not forwarded again.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(leaving, forwarded);
    }
};

/// @brief Which of the distributed values a revision belongs to.
enum class value_kind : std::uint8_t
{
    config = 0,
    fleet = 1,
};

/// @brief A value of the store at one revision.
struct revision_value
{
    value_kind kind = value_kind::config;
    store_revision revision = 0;
    std::string sha256; ///< Of `text`, 64 hexadecimal digits.
    std::string text;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, revision, sha256, text);
    }
};

/// @brief Newer values, pushed or in answer to a `revision_fetch`.
struct revision_push
{
    static constexpr control::message_type type =
        control::message_type::revision_push;

    std::vector<revision_value> values;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(values);
    }
};

/// @brief Asks for values newer than those known to the sender.
struct revision_fetch
{
    static constexpr control::message_type type =
        control::message_type::revision_fetch;

    known_revisions known;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(known);
    }
};

/// @brief Answers a `revision_push` with the revisions known after it.
struct acknowledgement
{
    static constexpr control::message_type type =
        control::message_type::acknowledgement;

    known_revisions known;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(known);
    }
};

} // namespace siskinflow
