#include "command.hpp"
#include <siskinflow/config/configuration_json.hpp>
#include <siskinflow/config/release_note.hpp>
#include <siskinflow/core/ids.hpp>

#include <sstream>

namespace siskinflow::operator_detail
{

using nlohmann::json;

namespace
{

/// A write is repeated or read back at most this often, with growing delays of
/// at most 1 s, until its outcome is known.
constexpr int max_write_attempts = 8;

/// @brief Parses a note from a file.
result<release_note> read_note(std::istream& in, const std::string& file,
                               std::string& text)
{
    auto content = read_input(in, file);
    if (!content)
    {
        return content.as_failure();
    }
    text = std::move(content).value();
    return parse_release_note(text);
}

exit_code exit_code_of(const error& fault)
{
    return fault.code == errc::io_error ? exit_code::usage
                                        : exit_code::invalid_note;
}

std::string faults_text(const error& fault, const std::string& file)
{
    return fault.code == errc::io_error
               ? fault.message
               : "the note in '" + file +
                     "' is refused; nothing was written\n" + fault.message;
}

json faults_json(const error& fault)
{
    json lines = json::array();
    std::istringstream text(fault.message);
    for (std::string line; std::getline(text, line);)
    {
        lines.push_back(line);
    }
    return {{"faults", std::move(lines)}};
}

std::string warnings_text(const std::vector<std::string>& lines)
{
    std::string out;
    for (const auto& line : lines)
    {
        out += "warning: " + line + "\n";
    }
    return out;
}

/// @brief Validates a note; with a store also against its configuration.
class validate_command final : public command
{
public:
    validate_command(command_environment environment, std::string file,
                     exit_handler done)
        : command(std::move(environment), std::move(done)),
          file_(std::move(file))
    {
    }

    void start() override
    {
        std::string text;
        auto note = read_note(environment_.in, file_, text);
        if (!note)
        {
            fail_with(exit_code_of(note.error()),
                      faults_text(note.error(), file_),
                      faults_json(note.error()));
            return;
        }
        if (environment_.config_store == nullptr)
        {
            finish(exit_code::ok,
                   {{"note_id", note.value().id}, {"references", false}},
                   "The form of note '" + note.value().id +
                       "' is valid. Give --store to check it against the "
                       "configuration in the store.\n");
            return;
        }
        read_configuration([this, note = std::move(note).value()](
                               const stored_configuration& stored)
                           { check(note, stored); });
    }

private:
    void check(const release_note& note, const stored_configuration& stored)
    {
        const auto next = apply_note(stored.value, note);
        if (!next)
        {
            fail_with(exit_code::invalid_note, faults_text(next.error(), file_),
                      faults_json(next.error()));
            return;
        }
        const auto lines = warnings(next.value());
        finish(exit_code::ok,
               {{"note_id", note.id},
                {"references", true},
                {"sequence", next.value().sequence},
                {"warnings", lines}},
               warnings_text(lines) + "Note '" + note.id +
                   "' is valid and would become sequence " +
                   std::to_string(next.value().sequence) + ".\n");
    }

    std::string file_;
};

/// @brief Writes a note and waits until it is in force.
class apply_command final : public command
{
public:
    apply_command(command_environment environment, std::string file,
                  exit_handler done)
        : command(std::move(environment), std::move(done)),
          file_(std::move(file))
    {
    }

    void start() override
    {
        if (!require_store("apply writes the note there"))
        {
            return;
        }
        auto note = read_note(environment_.in, file_, text_);
        if (!note)
        {
            fail_with(exit_code_of(note.error()),
                      faults_text(note.error(), file_),
                      faults_json(note.error()));
            return;
        }
        note_ = std::move(note).value();
        read_configuration([this](const stored_configuration& stored)
                           { write(stored); });
    }

private:
    void write(const stored_configuration& stored)
    {
        auto next = apply_note(stored.value, note_);
        if (!next)
        {
            fail_with(exit_code::invalid_note, faults_text(next.error(), file_),
                      faults_json(next.error()));
            return;
        }
        for (const auto& line : warnings(next.value()))
        {
            progress("warning: " + line);
        }
        sequence_ = next.value().sequence;
        confirmed_swap(*environment_.config_store,
                       make_write(std::move(next).value(), stored.revision),
                       environment_.call_timeout, max_write_attempts,
                       environment_.run_after,
                       [this, keep_alive = shared_from_this()](
                           result<store_revision> outcome)
                       { on_written(std::move(outcome)); });
    }

    confirmed_write make_write(configuration next,
                               store_revision expected) const
    {
        confirmed_write out;
        out.write_id = to_string(make_incarnation_id());
        out.confirmation_key = note_key();
        next.write_id = out.write_id;
        const json envelope = {{"write_id", out.write_id},
                               {"sequence", sequence_},
                               {"note", json::parse(text_, nullptr, false)}};
        out.request.key = store_keys::config;
        out.request.expected = expected;
        out.request.puts = {{store_keys::config, to_json(next)},
                            {note_key(), envelope.dump()}};
        return out;
    }

    std::string note_key() const
    {
        return store_keys::notes + std::to_string(sequence_);
    }

    void on_written(result<store_revision> outcome)
    {
        if (outcome)
        {
            on_revision(outcome.value());
            return;
        }
        const auto& fault = outcome.error();
        if (fault.code == errc::conflict)
        {
            read_conflicting_note();
        }
        else if (fault.code == errc::unknown_outcome)
        {
            fail_with(exit_code::unknown_outcome,
                      "whether note '" + note_.id +
                          "' was written is not known: " + fault.message +
                          "; run 'siskinflowctl status' once the store "
                          "answers, and apply the note again only if it is "
                          "not there",
                      note_json());
        }
        else
        {
            fail_with(exit_code::unavailable,
                      "note '" + note_.id +
                          "' was not written: " + fault.message + "; try again",
                      note_json());
        }
    }

    json note_json() const
    {
        return {{"note_id", note_.id}, {"sequence", sequence_}};
    }

    void read_conflicting_note()
    {
        environment_.config_store->read(
            note_key(), environment_.call_timeout,
            [this, keep_alive = shared_from_this()](
                result<std::optional<store_value>> answer)
            {
                json conflicting_note;
                if (answer && answer.value())
                {
                    const json envelope =
                        json::parse(answer.value()->value, nullptr, false);
                    conflicting_note =
                        envelope.is_object() && envelope.contains("note")
                            ? envelope["note"]
                            : json();
                }
                fail_conflict(conflicting_note);
            });
    }

    void fail_conflict(const json& conflicting_note)
    {
        const std::string text =
            conflicting_note.is_null()
                ? "The other note can't be read now; see 'siskinflowctl "
                  "status'."
                : "The other note is:\n" +
                      conflicting_note.dump(2, ' ', false,
                                            json::error_handler_t::replace);
        json document = note_json();
        document["winner"] = conflicting_note;
        fail_with(exit_code::conflict,
                  "note '" + note_.id +
                      "' was not written: another note became sequence " +
                      std::to_string(sequence_) +
                      " first. Check your note against it and apply again.\n" +
                      text,
                  std::move(document));
    }

    void on_revision(store_revision revision)
    {
        revision_ = revision;
        written_at_ = environment_.time.now();
        progress("Note '" + note_.id + "' is written as sequence " +
                 std::to_string(sequence_) + ", revision " +
                 std::to_string(revision) + "; waiting until it is in force.");
        refresh_entries();
    }

    /// @brief Polls the known entry VMs, or first reads them from the store.
    /// The note is already written, so a missing answer means pending, not
    /// unavailable.
    void refresh_entries()
    {
        if (!environment_.entries.empty())
        {
            poll();
            return;
        }
        environment_.config_store->read(
            store_keys::fleet, environment_.call_timeout,
            [this, keep_alive = shared_from_this()](
                const result<std::optional<store_value>>& answer)
            {
                environment_.entries = entry_endpoints(answer);
                poll_or_retry();
            });
    }

    void poll_or_retry()
    {
        if (environment_.entries.empty())
        {
            on_status({});
            return;
        }
        poll();
    }

    void poll()
    {
        query_status([this](const fleet_view& view) { on_status(view); });
    }

    void on_status(const fleet_view& view)
    {
        const duration elapsed = environment_.time.now() - written_at_;
        if (view.in_force(revision_))
        {
            finish_in_force(view, elapsed);
            return;
        }
        if (elapsed + environment_.poll_interval > environment_.max_wait)
        {
            finish_pending(view);
            return;
        }
        report_progress(view);
        environment_.run_after(environment_.poll_interval,
                               [this, keep_alive = shared_from_this()]
                               { refresh_entries(); });
    }

    void report_progress(const fleet_view& view)
    {
        const auto lagging_vms = view.lagging(revision_);
        const auto all = view.vms().size();
        std::string line = "Known to " +
                           std::to_string(all - lagging_vms.size()) + " of " +
                           std::to_string(all) + " VMs";
        line += lagging_vms.empty()
                    ? "."
                    : "; waiting for " + join_names(lagging_vms) + ".";
        if (line != last_progress_)
        {
            last_progress_ = line;
            progress(line);
        }
    }

    json document(const fleet_view& view) const
    {
        json out = note_json();
        out["revision"] = revision_;
        out["lagging"] = view.lagging(revision_);
        out["silent"] = unresponsive_json(view);
        return out;
    }

    void finish_in_force(const fleet_view& view, duration elapsed)
    {
        const auto ms = elapsed / std::chrono::milliseconds(1);
        json out = document(view);
        out["waited_ms"] = ms;
        const auto lagging_vms = view.lagging(revision_);
        std::string text = "Note '" + note_.id + "' is in force: sequence " +
                           std::to_string(sequence_) + ", revision " +
                           std::to_string(revision_) + ", " +
                           std::to_string(ms) + " ms after it was written.\n";
        if (!lagging_vms.empty())
        {
            text += "These VMs don't know it yet and refuse keyed requests "
                    "until they do: " +
                    join_names(lagging_vms) + "\n";
        }
        finish(exit_code::ok, std::move(out), text);
    }

    void finish_pending(const fleet_view& view)
    {
        const auto lagging_vms = view.lagging(revision_);
        std::string text =
            "note '" + note_.id + "' is written (sequence " +
            std::to_string(sequence_) + ", revision " +
            std::to_string(revision_) +
            ") but not yet in force; it can't be taken back except by another "
            "note. Follow it with 'siskinflowctl status'.";
        text += lagging_vms.empty()
                    ? ""
                    : "\nLagging VMs: " + join_names(lagging_vms);
        for (const auto& vm : view.unresponsive)
        {
            text += "\nNo answer from " + net::to_string(vm.address) + ": " +
                    vm.reason;
        }
        fail_with(exit_code::pending, text, document(view));
    }

    std::string file_;
    std::string text_;
    release_note note_;
    std::uint64_t sequence_ = 0;
    store_revision revision_ = 0;
    time_point written_at_;
    std::string last_progress_;
};

} // namespace

std::shared_ptr<command> make_validate(command_environment environment,
                                       const std::string& file,
                                       exit_handler done)
{
    return std::make_shared<validate_command>(std::move(environment), file,
                                              std::move(done));
}

std::shared_ptr<command> make_apply(command_environment environment,
                                    const std::string& file, exit_handler done)
{
    return std::make_shared<apply_command>(std::move(environment), file,
                                           std::move(done));
}

} // namespace siskinflow::operator_detail
