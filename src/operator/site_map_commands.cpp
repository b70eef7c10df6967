#include "command.hpp"
#include "site_map_file.hpp"
#include <siskinflow/core/ids.hpp>
#include <siskinflow/routing/site_map_document.hpp>

#include <array>
#include <sstream>

namespace siskinflow::operator_detail
{

using namespace routing;
using nlohmann::json;

namespace
{

/// A write is repeated or read back at most this often until its outcome is
/// known.
constexpr int settle_attempts = 8;
constexpr duration chunk_retry_delay = std::chrono::milliseconds(200);

/// @brief What the store holds.
struct published_map
{
    store_revision revision = 0; ///< 0: there is none.
    site_map_document document;
    std::vector<site> sites;
    std::shared_ptr<site_map_replica> replica =
        std::make_shared<site_map_replica>();
    std::size_t stored_bytes = 0; ///< Value and chunks.
    std::string damage;           ///< Why the map can't be used; empty: it can.
};

/// @brief Base of the commands on the site map.
class site_map_command : public command
{
public:
    using command::command;

protected:
    using next_step = std::function<void(published_map)>;

    /// @brief Reads the published map; ends the command if the store gives no
    /// answer. A damaged map is passed on.
    void with_site_map(next_step next)
    {
        environment_.config_store->read(
            store_keys::site_map, environment_.call_timeout,
            [this, keep = shared_from_this(), next = std::move(next)](
                const result<std::optional<store_value>>& answer)
            {
                if (!answer)
                {
                    fail_unread(answer.error());
                    return;
                }
                read_document(answer.value(), next);
            });
    }

    /// @brief As `with_site_map`, but ends the command if the map is damaged.
    void with_sound_map(next_step next)
    {
        with_site_map(
            [this, next = std::move(next)](published_map now)
            {
                if (now.damage.empty())
                {
                    next(std::move(now));
                    return;
                }
                fail_with(exit_code::unavailable,
                          "the site map in the store is damaged: " +
                              now.damage + "; publish it again");
            });
    }

private:
    void fail_unread(const error& problem)
    {
        fail_with(exit_code::unavailable,
                  "the site map can't be read: " + problem.message +
                      "; nothing was written, try "
                      "again");
    }

    void read_document(const std::optional<store_value>& value,
                       const next_step& next)
    {
        published_map now;
        if (!value)
        {
            next(std::move(now));
            return;
        }
        now.revision = value->mod_revision;
        now.stored_bytes = value->value.size();
        auto document = parse_site_map_document(value->value);
        if (!document)
        {
            now.damage = document.error().message;
            next(std::move(now));
            return;
        }
        now.document = std::move(document).value();
        auto hashes = now.replica->missing_chunks(now.document.manifest);
        hashes.push_back(now.document.sites_hash);
        fetch_chunks(*environment_.config_store, std::move(hashes),
                     environment_.call_timeout,
                     [this, keep = shared_from_this(), now = std::move(now),
                      next](const result<chunk_map>& chunks)
                     { load(now, chunks, next); });
    }

    void load(published_map now, const result<chunk_map>& chunks,
              const next_step& next)
    {
        if (!chunks && chunks.error().code != errc::not_found)
        {
            fail_unread(chunks.error());
            return;
        }
        now.damage =
            chunks ? load_chunks(now, chunks.value()) : chunks.error().message;
        next(std::move(now));
    }

    /// @return what is wrong, or empty text
    static std::string load_chunks(published_map& now, const chunk_map& chunks)
    {
        for (const auto& [hash, content] : chunks)
        {
            now.stored_bytes += content.size();
        }
        auto sites = parse_sites(chunks.at(now.document.sites_hash),
                                 now.document.sites_hash);
        if (!sites)
        {
            return sites.error().message;
        }
        now.sites = std::move(sites).value();
        const auto loaded = now.replica->load(
            now.document.manifest,
            [&chunks](const std::string& hash) -> std::optional<std::string>
            {
                const auto found = chunks.find(hash);
                return found == chunks.end() ? std::nullopt
                                             : std::optional(found->second);
            });
        return loaded ? std::string() : loaded.error().message;
    }
};

std::string name_of(const std::vector<site>& sites, site_number number)
{
    return number < sites.size() && !sites[number].name.empty()
               ? sites[number].name
               : "number " + std::to_string(number);
}

/// @brief Writes the chunks that the map in the store lacks, then the value.
class publish_command final : public site_map_command
{
public:
    publish_command(command_environment environment, std::string file,
                    exit_handler done)
        : site_map_command(std::move(environment), std::move(done)),
          file_(std::move(file))
    {
    }

    void start() override
    {
        if (!has_store("sitemap publish writes the map there"))
        {
            return;
        }
        auto text = read_input(environment_.in, file_);
        if (!text)
        {
            fail_with(exit_code::usage, text.error().message);
            return;
        }
        text_ = std::move(text).value();
        with_site_map([this](published_map now) { prepare(std::move(now)); });
    }

private:
    void prepare(published_map now)
    {
        const auto next = parse_site_map_file(text_, now.sites);
        if (!next)
        {
            refuse(next.error().message);
            return;
        }
        const bool damaged = !now.damage.empty();
        if (damaged)
        {
            progress("warning: the site map in the store is damaged (" +
                     now.damage + "); the whole map is written anew");
            now.replica = std::make_shared<site_map_replica>();
        }
        auto release = now.replica->make_release(next.value().map);
        document_.manifest = std::move(release.manifest);
        chunks_ = std::move(release.chunks);
        std::string sites = encode_sites(next.value().sites);
        document_.sites_hash = sha256_hex(sites);
        revision_ = now.revision;
        const bool unchanged = !damaged && now.revision != 0 &&
                               chunks_.empty() &&
                               document_.manifest == now.document.manifest &&
                               document_.sites_hash == now.document.sites_hash;
        if (unchanged)
        {
            finish_with("The published site map is the same already; nothing "
                        "was written.",
                        false);
            return;
        }
        if (damaged || document_.sites_hash != now.document.sites_hash)
        {
            chunks_.emplace_back(document_.sites_hash, std::move(sites));
        }
        write_chunk();
    }

    void refuse(const std::string& faults)
    {
        json lines = json::array();
        std::istringstream text(faults);
        for (std::string line; std::getline(text, line);)
        {
            lines.push_back(line);
        }
        fail_with(exit_code::invalid_note,
                  "the site map in '" + file_ +
                      "' is refused; nothing was written\n" + faults,
                  {{"faults", std::move(lines)}});
    }

    /// @brief Writes the next chunk. A chunk's key is the hash of its content,
    /// so that any writer may write it at any time and repetition is harmless.
    void write_chunk(store_revision expected = 0)
    {
        if (written_ == chunks_.size())
        {
            write_document();
            return;
        }
        swap_request request{
            chunk_key(), expected, {{chunk_key(), chunks_[written_].second}}};
        environment_.config_store->swap(
            std::move(request), environment_.call_timeout,
            [this,
             keep = shared_from_this()](const result<store_revision>& answer)
            {
                if (answer)
                {
                    next_chunk();
                    return;
                }
                check_chunk();
            });
    }

    std::string chunk_key() const
    {
        return store_keys::site_map_chunks + chunks_[written_].first;
    }

    void next_chunk()
    {
        bytes_ += chunks_[written_].second.size();
        ++written_;
        attempts_left_ = settle_attempts;
        write_chunk();
    }

    /// @brief Finds out whether the store has the chunk: another publisher may
    /// have written it, the answer may be lost, or a damaged one is there.
    void check_chunk()
    {
        environment_.config_store->read(
            chunk_key(), environment_.call_timeout,
            [this, keep = shared_from_this()](
                const result<std::optional<store_value>>& answer)
            {
                const bool there =
                    answer && answer.value() &&
                    answer.value()->value == chunks_[written_].second;
                if (there)
                {
                    next_chunk();
                    return;
                }
                repeat_chunk(answer && answer.value()
                                 ? answer.value()->mod_revision
                                 : 0);
            });
    }

    void repeat_chunk(store_revision expected)
    {
        if (--attempts_left_ <= 0)
        {
            fail_with(exit_code::unavailable,
                      "chunk '" + chunks_[written_].first +
                          "' can't be written; the published map is as it was, "
                          "try again");
            return;
        }
        environment_.later(chunk_retry_delay,
                           [this, keep = shared_from_this(), expected]
                           { write_chunk(expected); });
    }

    void write_document()
    {
        document_.write_id = to_string(make_incarnation_id());
        confirmed_write write;
        write.write_id = document_.write_id;
        write.request.key = store_keys::site_map;
        write.request.expected = revision_;
        write.request.puts = {{store_keys::site_map, to_json(document_)}};
        confirmed_swap(*environment_.config_store, std::move(write),
                       environment_.call_timeout, settle_attempts,
                       environment_.later,
                       [this, keep = shared_from_this()](
                           const result<store_revision>& outcome)
                       { on_written(outcome); });
    }

    void on_written(const result<store_revision>& outcome)
    {
        if (outcome)
        {
            revision_ = outcome.value();
            bytes_ += to_json(document_).size();
            finish_with("The site map is published.", true);
            return;
        }
        const auto& fault = outcome.error();
        if (fault.code == errc::conflict)
        {
            fail_with(exit_code::conflict,
                      "the site map was not published: another one came "
                      "first. See 'siskinflowctl sitemap show', check your "
                      "file against it and publish again");
        }
        else if (fault.code == errc::unknown_outcome)
        {
            fail_with(exit_code::unknown_outcome,
                      "whether the site map was published is not known: " +
                          fault.message +
                          "; run 'siskinflowctl sitemap show' once the store "
                          "answers and compare the hash with " +
                          document_.hash(),
                      {{"hash", document_.hash()}});
        }
        else
        {
            fail_with(exit_code::unavailable,
                      "the site map was not published: " + fault.message +
                          "; try again");
        }
    }

    void finish_with(const std::string& headline, bool changed)
    {
        const auto blocks = document_.manifest.blocks;
        finish(exit_code::ok,
               {{"changed", changed},
                {"revision", revision_},
                {"hash", document_.hash()},
                {"blocks", blocks},
                {"chunks_written", written_},
                {"bytes_written", bytes_}},
               headline + "\nRevision " + std::to_string(revision_) +
                   ", hash " + document_.hash() + ", " +
                   std::to_string(blocks) + " blocks; wrote " +
                   std::to_string(written_) + " chunks, " +
                   std::to_string(bytes_) + " bytes in all.\n");
    }

    std::string file_;
    std::string text_;
    site_map_document document_;
    std::vector<std::pair<std::string, std::string>> chunks_;
    store_revision revision_ = 0;
    std::size_t written_ = 0;
    std::size_t bytes_ = 0;
    int attempts_left_ = settle_attempts;
};

/// @brief Describes the published map.
class show_command final : public site_map_command
{
public:
    using site_map_command::site_map_command;

    void start() override
    {
        if (has_store("sitemap show reads the map there"))
        {
            with_sound_map([this](const published_map& now) { show(now); });
        }
    }

private:
    void show(const published_map& now)
    {
        if (now.revision == 0)
        {
            finish(exit_code::ok, {{"revision", 0}},
                   "No site map is published.\n");
            return;
        }
        std::array<std::size_t, no_site + 1> blocks{};
        now.replica->map()->for_each([&blocks](const site_block& entry)
                                     { ++blocks[entry.site]; });
        const auto total = now.replica->map()->size();
        const auto memory = now.replica->map()->memory_bytes();
        json sites = json::array();
        std::string lines;
        for (std::size_t i = 0; i < now.sites.size(); ++i)
        {
            const auto& item = now.sites[i];
            if (!item.name.empty())
            {
                sites.push_back({{"site", item.name},
                                 {"region", item.region},
                                 {"blocks", blocks[i]}});
                lines += "  " + item.name + " in " + item.region + ": " +
                         std::to_string(blocks[i]) + " blocks\n";
            }
        }
        const std::string text =
            "Revision " + std::to_string(now.revision) + ", hash " +
            now.document.hash() + "\n" + std::to_string(total) + " blocks, " +
            std::to_string(now.stored_bytes) + " bytes in the store, " +
            std::to_string(memory) + " bytes of memory per VM\n" +
            std::to_string(sites.size()) + " sites:\n" + lines;
        finish(exit_code::ok,
               {{"revision", now.revision},
                {"hash", now.document.hash()},
                {"blocks", total},
                {"stored_bytes", now.stored_bytes},
                {"memory_bytes", memory},
                {"sites", std::move(sites)}},
               text);
    }
};

/// @brief Says which site an address belongs to.
class find_command final : public site_map_command
{
public:
    find_command(command_environment environment, std::string address,
                 exit_handler done)
        : site_map_command(std::move(environment), std::move(done)),
          text_(std::move(address))
    {
    }

    void start() override
    {
        const auto address = parse_ip_address(text_);
        if (!address)
        {
            fail_with(exit_code::usage,
                      "ADDRESS '" + text_ +
                          "' is not an IP address; give for instance "
                          "192.0.2.1 or 2001:db8::1");
            return;
        }
        if (has_store("sitemap find reads the map there"))
        {
            with_sound_map([this, at = address.value()](
                               const published_map& now) { show(now, at); });
        }
    }

private:
    void show(const published_map& now, const ip_address& address)
    {
        const auto found = now.replica->map()->find(address);
        if (!found)
        {
            finish(exit_code::ok, {{"address", text_}, {"site", nullptr}},
                   text_ + " belongs to no site.\n");
            return;
        }
        const std::string site_name = name_of(now.sites, *found);
        const std::string region =
            *found < now.sites.size() ? now.sites[*found].region : "";
        finish(exit_code::ok,
               {{"address", text_}, {"site", site_name}, {"region", region}},
               text_ + " belongs to site " + site_name + " in region " +
                   region + ".\n");
    }

    std::string text_;
};

} // namespace

std::shared_ptr<command> make_site_map_publish(command_environment environment,
                                               const std::string& file,
                                               exit_handler done)
{
    return std::make_shared<publish_command>(std::move(environment), file,
                                             std::move(done));
}

std::shared_ptr<command> make_site_map_show(command_environment environment,
                                            exit_handler done)
{
    return std::make_shared<show_command>(std::move(environment),
                                          std::move(done));
}

std::shared_ptr<command> make_site_map_find(command_environment environment,
                                            const std::string& address,
                                            exit_handler done)
{
    return std::make_shared<find_command>(std::move(environment), address,
                                          std::move(done));
}

} // namespace siskinflow::operator_detail
