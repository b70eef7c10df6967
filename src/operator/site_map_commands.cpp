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
constexpr int max_write_attempts = 8;
constexpr duration chunk_retry_delay = std::chrono::milliseconds(200);

/// @brief The site map as read from the store.
struct published_map
{
    store_revision revision = 0; ///< 0: there is none.
    site_map_document document;
    std::vector<site> sites;
    std::shared_ptr<site_map_replica> replica =
        std::make_shared<site_map_replica>();
    std::size_t stored_bytes = 0; ///< Value and chunks.
    std::string load_error;       ///< Why the map can't be used; else empty.
};

/// @brief Base of the commands on the site map.
class site_map_command : public command
{
public:
    using command::command;

protected:
    using map_handler = std::function<void(published_map)>;

    /// @brief Reads the published map; ends the command if the store gives no
    /// answer. A damaged map is passed on.
    void read_published_map(map_handler next)
    {
        environment_.config_store->read(
            store_keys::site_map, environment_.call_timeout,
            [this, keep_alive = shared_from_this(), next = std::move(next)](
                const result<std::optional<store_value>>& answer)
            {
                if (!answer)
                {
                    fail_read(answer.error());
                    return;
                }
                read_document(answer.value(), next);
            });
    }

    /// @brief As `read_published_map`, but ends the command if the map is
    /// damaged.
    void read_valid_map(map_handler next)
    {
        read_published_map(
            [this, next = std::move(next)](published_map published)
            {
                if (published.load_error.empty())
                {
                    next(std::move(published));
                    return;
                }
                fail_with(exit_code::unavailable,
                          "the site map in the store is damaged: " +
                              published.load_error + "; publish it again");
            });
    }

private:
    void fail_read(const error& cause)
    {
        fail_with(exit_code::unavailable,
                  "the site map can't be read: " + cause.message +
                      "; nothing was written, try "
                      "again");
    }

    void read_document(const std::optional<store_value>& value,
                       const map_handler& next)
    {
        published_map published;
        if (!value)
        {
            next(std::move(published));
            return;
        }
        published.revision = value->mod_revision;
        published.stored_bytes = value->value.size();
        auto document = parse_site_map_document(value->value);
        if (!document)
        {
            published.load_error = document.error().message;
            next(std::move(published));
            return;
        }
        published.document = std::move(document).value();
        auto hashes =
            published.replica->missing_chunks(published.document.manifest);
        hashes.push_back(published.document.sites_hash);
        fetch_chunks(*environment_.config_store, std::move(hashes),
                     environment_.call_timeout,
                     [this, keep_alive = shared_from_this(),
                      published = std::move(published),
                      next](const result<chunk_map>& chunks)
                     { load(published, chunks, next); });
    }

    void load(published_map published, const result<chunk_map>& chunks,
              const map_handler& next)
    {
        if (!chunks && chunks.error().code != errc::not_found)
        {
            fail_read(chunks.error());
            return;
        }
        published.load_error = chunks ? load_chunks(published, chunks.value())
                                      : chunks.error().message;
        next(std::move(published));
    }

    /// @return why the map can't be loaded; empty on success
    static std::string load_chunks(published_map& published,
                                   const chunk_map& chunks)
    {
        for (const auto& [hash, content] : chunks)
        {
            published.stored_bytes += content.size();
        }
        auto sites = parse_sites(chunks.at(published.document.sites_hash),
                                 published.document.sites_hash);
        if (!sites)
        {
            return sites.error().message;
        }
        published.sites = std::move(sites).value();
        const auto loaded = published.replica->load(
            published.document.manifest,
            [&chunks](const std::string& hash) -> std::optional<std::string>
            {
                const auto it = chunks.find(hash);
                return it == chunks.end() ? std::nullopt
                                          : std::optional(it->second);
            });
        return loaded ? std::string() : loaded.error().message;
    }
};

std::string site_label(const std::vector<site>& sites, site_number number)
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
        if (!require_store("sitemap publish writes the map there"))
        {
            return;
        }
        auto text = read_input(environment_.in, file_);
        if (!text)
        {
            fail_with(exit_code::usage, text.error().message);
            return;
        }
        file_text_ = std::move(text).value();
        read_published_map([this](published_map published)
                           { prepare(std::move(published)); });
    }

private:
    void prepare(published_map published)
    {
        const auto next = parse_site_map_file(file_text_, published.sites);
        if (!next)
        {
            fail_invalid(next.error().message);
            return;
        }
        const bool damaged = !published.load_error.empty();
        if (damaged)
        {
            progress("warning: the site map in the store is damaged (" +
                     published.load_error + "); the whole map is written anew");
            published.replica = std::make_shared<site_map_replica>();
        }
        auto release = published.replica->make_release(next.value().map);
        document_.manifest = std::move(release.manifest);
        chunks_to_write_ = std::move(release.chunks);
        std::string sites = encode_sites(next.value().sites);
        document_.sites_hash = sha256_hex(sites);
        revision_ = published.revision;
        const bool unchanged =
            !damaged && published.revision != 0 && chunks_to_write_.empty() &&
            document_.manifest == published.document.manifest &&
            document_.sites_hash == published.document.sites_hash;
        if (unchanged)
        {
            finish_publish(
                "The published site map is the same already; nothing "
                "was written.",
                false);
            return;
        }
        if (damaged || document_.sites_hash != published.document.sites_hash)
        {
            chunks_to_write_.emplace_back(document_.sites_hash,
                                          std::move(sites));
        }
        write_chunk();
    }

    void fail_invalid(const std::string& faults)
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
        if (chunks_written_ == chunks_to_write_.size())
        {
            write_document();
            return;
        }
        swap_request request{
            chunk_key(),
            expected,
            {{chunk_key(), chunks_to_write_[chunks_written_].second}}};
        environment_.config_store->swap(
            std::move(request), environment_.call_timeout,
            [this, keep_alive =
                       shared_from_this()](const result<store_revision>& answer)
            {
                if (answer)
                {
                    next_chunk();
                    return;
                }
                verify_chunk();
            });
    }

    std::string chunk_key() const
    {
        return store_keys::site_map_chunks +
               chunks_to_write_[chunks_written_].first;
    }

    void next_chunk()
    {
        bytes_written_ += chunks_to_write_[chunks_written_].second.size();
        ++chunks_written_;
        attempts_left_ = max_write_attempts;
        write_chunk();
    }

    /// @brief Reads the chunk back after a failed write: another publisher may
    /// have written it, the answer may be lost, or the store may hold a
    /// damaged chunk.
    void verify_chunk()
    {
        environment_.config_store->read(
            chunk_key(), environment_.call_timeout,
            [this, keep_alive = shared_from_this()](
                const result<std::optional<store_value>>& answer)
            {
                const bool stored =
                    answer && answer.value() &&
                    answer.value()->value ==
                        chunks_to_write_[chunks_written_].second;
                if (stored)
                {
                    next_chunk();
                    return;
                }
                retry_chunk(answer && answer.value()
                                ? answer.value()->mod_revision
                                : 0);
            });
    }

    void retry_chunk(store_revision expected)
    {
        if (--attempts_left_ <= 0)
        {
            fail_with(exit_code::unavailable,
                      "chunk '" + chunks_to_write_[chunks_written_].first +
                          "' can't be written; the published map is as it was, "
                          "try again");
            return;
        }
        environment_.run_after(chunk_retry_delay,
                               [this, keep_alive = shared_from_this(), expected]
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
                       environment_.call_timeout, max_write_attempts,
                       environment_.run_after,
                       [this, keep_alive = shared_from_this()](
                           const result<store_revision>& outcome)
                       { on_written(outcome); });
    }

    void on_written(const result<store_revision>& outcome)
    {
        if (outcome)
        {
            revision_ = outcome.value();
            bytes_written_ += to_json(document_).size();
            finish_publish("The site map is published.", true);
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

    void finish_publish(const std::string& headline, bool changed)
    {
        const auto blocks = document_.manifest.blocks;
        finish(exit_code::ok,
               {{"changed", changed},
                {"revision", revision_},
                {"hash", document_.hash()},
                {"blocks", blocks},
                {"chunks_written", chunks_written_},
                {"bytes_written", bytes_written_}},
               headline + "\nRevision " + std::to_string(revision_) +
                   ", hash " + document_.hash() + ", " +
                   std::to_string(blocks) + " blocks; wrote " +
                   std::to_string(chunks_written_) + " chunks, " +
                   std::to_string(bytes_written_) + " bytes in all.\n");
    }

    std::string file_;
    std::string file_text_;
    site_map_document document_;
    std::vector<std::pair<std::string, std::string>> chunks_to_write_;
    store_revision revision_ = 0;
    std::size_t chunks_written_ = 0;
    std::size_t bytes_written_ = 0;
    int attempts_left_ = max_write_attempts;
};

/// @brief Describes the published map.
class show_command final : public site_map_command
{
public:
    using site_map_command::site_map_command;

    void start() override
    {
        if (require_store("sitemap show reads the map there"))
        {
            read_valid_map([this](const published_map& published)
                           { show(published); });
        }
    }

private:
    void show(const published_map& published)
    {
        if (published.revision == 0)
        {
            finish(exit_code::ok, {{"revision", 0}},
                   "No site map is published.\n");
            return;
        }
        std::array<std::size_t, no_site + 1> blocks{};
        published.replica->map()->for_each([&blocks](const site_block& entry)
                                           { ++blocks[entry.site]; });
        const auto total = published.replica->map()->size();
        const auto memory = published.replica->map()->memory_bytes();
        json sites = json::array();
        std::string lines;
        for (std::size_t i = 0; i < published.sites.size(); ++i)
        {
            const auto& item = published.sites[i];
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
            "Revision " + std::to_string(published.revision) + ", hash " +
            published.document.hash() + "\n" + std::to_string(total) +
            " blocks, " + std::to_string(published.stored_bytes) +
            " bytes in the store, " + std::to_string(memory) +
            " bytes of memory per VM\n" + std::to_string(sites.size()) +
            " sites:\n" + lines;
        finish(exit_code::ok,
               {{"revision", published.revision},
                {"hash", published.document.hash()},
                {"blocks", total},
                {"stored_bytes", published.stored_bytes},
                {"memory_bytes", memory},
                {"sites", std::move(sites)}},
               text);
    }
};

/// @brief Prints the site that an address belongs to.
class find_command final : public site_map_command
{
public:
    find_command(command_environment environment, std::string address,
                 exit_handler done)
        : site_map_command(std::move(environment), std::move(done)),
          address_(std::move(address))
    {
    }

    void start() override
    {
        const auto address = parse_ip_address(address_);
        if (!address)
        {
            fail_with(exit_code::usage,
                      "ADDRESS '" + address_ +
                          "' is not an IP address; give for instance "
                          "192.0.2.1 or 2001:db8::1");
            return;
        }
        if (require_store("sitemap find reads the map there"))
        {
            read_valid_map(
                [this, at = address.value()](const published_map& published)
                { show(published, at); });
        }
    }

private:
    void show(const published_map& published, const ip_address& address)
    {
        const auto number = published.replica->map()->find(address);
        if (!number)
        {
            finish(exit_code::ok, {{"address", address_}, {"site", nullptr}},
                   address_ + " belongs to no site.\n");
            return;
        }
        const std::string site_name = site_label(published.sites, *number);
        const std::string region = *number < published.sites.size()
                                       ? published.sites[*number].region
                                       : "";
        finish(exit_code::ok,
               {{"address", address_}, {"site", site_name}, {"region", region}},
               address_ + " belongs to site " + site_name + " in region " +
                   region + ".\n");
    }

    std::string address_;
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
