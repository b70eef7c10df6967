/// @file
/// @brief Decides from evidence of a majority whether this VM may serve.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/fleet/fleet_record.hpp>
#include <siskinflow/store/store.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinflow
{

/// @brief Newest store revisions that a VM knows.
struct known_revisions
{
    store_revision config = 0;
    store_revision fleet = 0;

    bool operator==(const known_revisions&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(config, fleet);
    }
};

/// @brief Time limits of freshness.
struct freshness_options
{
    /// Maximum age of evidence.
    duration window = std::chrono::milliseconds(1500);
    /// Wait until a revision is in force: the window plus 10% for clocks that
    /// run at different speeds.
    duration in_force_wait = std::chrono::milliseconds(1650);
};

/// @brief What this VM knows about one member, for operators.
struct member_status
{
    incarnation_id incarnation;
    std::string vm;
    /// Last time at which it was known to be alive; nothing if never.
    std::optional<time_point> last_heard;
    /// Send time of the newest probe that it has answered.
    std::optional<time_point> last_evidence;
    known_revisions revisions;
    store_revision config_lag = 0; ///< Own revision minus the member's.
    store_revision fleet_lag = 0;  ///< As above, for the fleet record.
    bool stopped = false;          ///< Excluded from majorities.
};

/// @brief Evidence of members that stated the same revisions, for relays.
struct evidence_group
{
    known_revisions revisions;
    /// Largest age of the evidence in the group, in milliseconds.
    std::uint16_t age_ms = 0;
    std::uint16_t byte_offset = 0; ///< Offset of `bitmap`, in bytes.
    /// One bit per member in the order of `freshness::ordered_members`.
    std::string bitmap;

    bool operator==(const evidence_group&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(revisions, age_ms, byte_offset, bitmap);
    }
};

/// @brief Tracks evidence of a majority. Performs no I/O and compares only
/// times of this VM's clock.
///
/// A statement of a member counts from the time at which this VM sent the
/// probe that the statement echoes. A majority is taken of the members and,
/// while the record is being changed, also of the previous members.
class freshness
{
public:
    /// @param self this VM's incarnation
    /// @param started when the process started; older echoes are ignored
    freshness(const incarnation_id& self, time_point started,
              const freshness_options& options = {});
    ~freshness();
    freshness(freshness&&) noexcept;
    freshness& operator=(freshness&&) noexcept;

    /// @brief Sets the fleet record if it is newer than the known one.
    /// @return whether it was newer
    bool set_record(const fleet_record& record, store_revision revision,
                    time_point now);

    /// @brief Sets the configuration revision if it is newer than the known
    /// one.
    /// @return whether it was newer
    bool set_config(store_revision revision, time_point now);

    /// @brief Handles a complete read of both keys of the store.
    /// @param read_sent when the older of the two reads was sent
    void on_store_read(time_point read_sent, time_point now);

    /// @brief Handles a direct or relayed statement of another VM. VMs outside
    /// the record are ignored.
    /// @param from VM that made the statement
    /// @param probe_sent send time of the echoed probe, minus the age of
    /// relayed evidence; one outside [start, now] is ignored
    /// @param revisions revisions that the VM knew
    void on_statement(const incarnation_id& from, time_point probe_sent,
                      const known_revisions& revisions, time_point now);

    /// @brief Records that a listed VM was alive at this time, whatever it
    /// stated.
    void on_heard(const incarnation_id& from, time_point when);

    /// @brief Sets the members that have stopped for good. They are excluded
    /// from majorities once the store was read after this call: revisions that
    /// only they knew are then known here.
    void set_stopped(const std::set<incarnation_id>& stopped, time_point now);

    /// @brief Brings revisions into force; call it at least every 100 ms.
    void advance(time_point now);

    /// @brief Whether this VM has read the store since its start or heard a
    /// majority of other members. Before that its own statements do not count.
    bool is_caught_up() const;

    /// @brief Whether a majority gave evidence within the window and stated no
    /// revision that is unknown here. VMs outside the record can be fresh too.
    bool is_fresh(time_point now) const;

    /// @brief When the present evidence ends; `time_point::min()` if there is
    /// none, `time_point::max()` if this VM alone is the majority.
    time_point fresh_until() const;

    /// @brief Whether every other VM knows the revision or is not fresh.
    /// Revision 0 is always in force.
    bool config_in_force(store_revision revision, time_point now) const;
    bool fleet_in_force(store_revision revision, time_point now) const;

    /// @brief Newest revisions in force as of the last `advance`.
    const known_revisions& in_force() const;

    /// @brief Whether the next record may be written: this VM is fresh, and
    /// all revisions that it knows are in force. Without the condition on the
    /// configuration, a majority of new members alone could be fresh without
    /// a revision that the previous members had brought into force.
    bool may_change_record(time_point now) const;

    /// @brief Whether all members of the record are stopped and the store was
    /// read since. No member is left then to write the next record.
    bool all_stopped() const;

    /// @brief Newest revisions known here.
    const known_revisions& known() const;

    const fleet_record& record() const;

    /// @brief Members and previous members, sorted by failure domain and
    /// incarnation: the order of the bits in relayed evidence.
    const std::vector<member>& ordered_members() const;

    /// @brief Last time at which a VM was known to be alive, if ever.
    std::optional<time_point> last_heard(const incarnation_id& id) const;

    /// @brief Newest revisions that a listed VM has stated.
    known_revisions stated_revisions(const incarnation_id& id) const;

    /// @brief Status of all members and previous members.
    std::vector<member_status> status(time_point now) const;

    /// @brief Evidence held here, grouped for relays. Ages are rounded up.
    /// @param domain only members of this failure domain; all if empty
    std::vector<evidence_group>
    evidence_groups(time_point now, std::string_view domain = {}) const;

    /// @brief Handles relayed evidence.
    /// @param order_revision fleet revision that defines the order of the bits;
    /// groups of a record that is not among the last three known here are
    /// ignored
    /// @param probe_sent send time of the probe that the relay echoed
    /// @param received when the groups arrived
    void on_relayed_evidence(const std::vector<evidence_group>& groups,
                             store_revision order_revision,
                             time_point probe_sent, time_point received);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow
