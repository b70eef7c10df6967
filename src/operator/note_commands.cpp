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
constexpr int settle_attempts = 8;

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

exit_code code_of(const error& fault)
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

/// @brief Checks a note, and with a store also its references.
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
            fail_with(code_of(note.error()), faults_text(note.error(), file_),
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
        with_configuration([this, note = std::move(note).value()](
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
        if (!has_store("apply writes the note there"))
        {
            return;
        }
        auto note = read_note(environment_.in, file_, text_);
        if (!note)
        {
            fail_with(code_of(note.error()), faults_text(note.error(), file_),
                      faults_json(note.error()));
            return;
        }
        note_ = std::move(note).value();
        with_configuration([this](const stored_configuration& stored)
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
        confirmed_swap(
            *environment_.config_store,
            make_write(std::move(next).value(), stored.revision),
            environment_.call_timeout, settle_attempts, environment_.later,
            [this, keep = shared_from_this()](result<store_revision> outcome)
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
            show_winner();
        }
        else if (fault.code == errc::unknown_outcome)
        {
            fail_with(exit_code::unknown_outcome,
                      "whether note '" + note_.id +
                          "' was written is not known: " + fault.message +
                          "; run 'siskinflowctl status' once the store "
                          "answers, and apply the note again only if it is "
                          "not there",
                      describe());
        }
        else
        {
            fail_with(exit_code::unavailable,
                      "note '" + note_.id +
                          "' was not written: " + fault.message + "; try again",
                      describe());
        }
    }

    json describe() const
    {
        return {{"note_id", note_.id}, {"sequence", sequence_}};
    }

    void show_winner()
    {
        environment_.config_store->read(
            note_key(), environment_.call_timeout,
            [this, keep = shared_from_this()](
                result<std::optional<store_value>> answer)
            {
                json winner;
                if (answer && answer.value())
                {
                    const json envelope =
                        json::parse(answer.value()->value, nullptr, false);
                    winner = envelope.is_object() && envelope.contains("note")
                                 ? envelope["note"]
                                 : json();
                }
                on_winner(winner);
            });
    }

    void on_winner(const json& winner)
    {
        const std::string text =
            winner.is_null()
                ? "The other note can't be read now; see 'siskinflowctl "
                  "status'."
                : "The other note is:\n" +
                      winner.dump(2, ' ', false,
                                  json::error_handler_t::replace);
        json document = describe();
        document["winner"] = winner;
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
        written_ = environment_.time.now();
        progress("Note '" + note_.id + "' is written as sequence " +
                 std::to_string(sequence_) + ", revision " +
                 std::to_string(revision) + "; waiting until it is in force.");
        find_entries();
    }

    /// @brief From here on the note is written, so a missing answer means
    /// pending, not unavailable.
    void find_entries()
    {
        if (!environment_.entries.empty())
        {
            poll();
            return;
        }
        environment_.config_store->read(
            store_keys::fleet, environment_.call_timeout,
            [this, keep = shared_from_this()](
                const result<std::optional<store_value>>& answer)
            {
                environment_.entries = entries_in(answer);
                poll_or_retry();
            });
    }

    void poll_or_retry()
    {
        if (environment_.entries.empty())
        {
            on_view({});
            return;
        }
        poll();
    }

    void poll()
    {
        with_status([this](const fleet_view& view) { on_view(view); });
    }

    void on_view(const fleet_view& view)
    {
        const duration waited = environment_.time.now() - written_;
        if (view.in_force(revision_))
        {
            finish_in_force(view, waited);
            return;
        }
        if (waited + environment_.poll_interval > environment_.wait)
        {
            finish_pending(view);
            return;
        }
        report_progress(view);
        environment_.later(environment_.poll_interval,
                           [this, keep = shared_from_this()]
                           { find_entries(); });
    }

    void report_progress(const fleet_view& view)
    {
        const auto behind = view.lagging(revision_);
        const auto all = view.vms().size();
        std::string line = "Known to " + std::to_string(all - behind.size()) +
                           " of " + std::to_string(all) + " VMs";
        line += behind.empty() ? "." : "; waiting for " + joined(behind) + ".";
        if (line != last_line_)
        {
            last_line_ = line;
            progress(line);
        }
    }

    json document(const fleet_view& view) const
    {
        json out = describe();
        out["revision"] = revision_;
        out["lagging"] = view.lagging(revision_);
        out["silent"] = silent_json(view);
        return out;
    }

    void finish_in_force(const fleet_view& view, duration waited)
    {
        const auto ms = waited / std::chrono::milliseconds(1);
        json out = document(view);
        out["waited_ms"] = ms;
        const auto behind = view.lagging(revision_);
        std::string text = "Note '" + note_.id + "' is in force: sequence " +
                           std::to_string(sequence_) + ", revision " +
                           std::to_string(revision_) + ", " +
                           std::to_string(ms) + " ms after it was written.\n";
        if (!behind.empty())
        {
            text += "These VMs don't know it yet and refuse keyed requests "
                    "until they do: " +
                    joined(behind) + "\n";
        }
        finish(exit_code::ok, std::move(out), text);
    }

    void finish_pending(const fleet_view& view)
    {
        const auto behind = view.lagging(revision_);
        std::string text =
            "note '" + note_.id + "' is written (sequence " +
            std::to_string(sequence_) + ", revision " +
            std::to_string(revision_) +
            ") but not yet in force; it can't be taken back except by another "
            "note. Follow it with 'siskinflowctl status'.";
        text += behind.empty() ? "" : "\nLagging VMs: " + joined(behind);
        for (const auto& vm : view.silent)
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
    time_point written_;
    std::string last_line_;
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
