#include "status_document.hpp"

#include "milliseconds.hpp"

#include <nlohmann/json.hpp>

namespace siskinflow::entry
{

namespace
{

nlohmann::json members_json(const status_source& source)
{
    nlohmann::json members = nlohmann::json::array();
    for (const member_status& status : source.fleet.status())
    {
        nlohmann::json entry = {{"vm", status.vm},
                                {"incarnation", to_string(status.incarnation)},
                                {"config_revision", status.revisions.config},
                                {"fleet_revision", status.revisions.fleet},
                                {"stopped", status.stopped}};
        if (status.last_heard)
        {
            entry["heard_ms_ago"] =
                milliseconds(source.now - *status.last_heard);
        }
        if (status.last_evidence)
        {
            entry["evidence_ms_ago"] =
                milliseconds(source.now - *status.last_evidence);
        }
        members.push_back(std::move(entry));
    }
    return members;
}

nlohmann::json targets_json(const status_source& source)
{
    nlohmann::json targets = nlohmann::json::array();
    for (const target_status& status : source.path.targets())
    {
        targets.push_back(
            {{"name", status.name},
             {"state", name(status.state)},
             {"health", routing::name(status.health)},
             {"in_flight", status.in_flight},
             {"draining_done",
              status.state == target_state::leaving && status.in_flight == 0}});
    }
    return targets;
}

} // namespace

std::string status_document(const status_source& source)
{
    const store_revision revision = source.fleet.config_revision();
    const auto config = source.path.config();
    nlohmann::json document = {
        {"vm", source.self.vm},
        {"region", source.self.region},
        {"failure_domain", source.self.failure_domain},
        {"incarnation", to_string(source.self.incarnation)},
        {"state", name(source.state)},
        {"fresh", source.fleet.is_fresh()},
        {"member", source.fleet.is_member()},
        {"in_progress", source.path.in_progress()},
        {"queued", source.path.queued()},
        {"targets", targets_json(source)}};
    document["config"] = {
        {"revision", revision},
        {"sequence", config ? config->sequence : 0},
        {"note_id", config ? config->note_id : std::string()},
        {"in_force", revision != 0 && source.fleet.config_in_force(revision)},
        {"since_ms", milliseconds(source.now - source.config_since)}};
    document["fleet"] = {
        {"epoch", source.fleet.record().epoch},
        {"changing", !source.fleet.record().previous_members.empty()},
        {"revision", source.fleet.record_revision()},
        {"in_force",
         source.fleet.fleet_in_force(source.fleet.record_revision())},
        {"members", members_json(source)}};
    return document.dump() + "\n";
}

} // namespace siskinflow::entry
