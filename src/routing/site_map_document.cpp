#include <siskinflow/core/ids.hpp>
#include <siskinflow/routing/site_map_document.hpp>
#include <siskinflow/store/base64.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace siskinflow::routing
{

using nlohmann::json;

namespace
{

constexpr std::size_t hash_digits = 64;

/// @brief Text of a field, or empty text.
std::string text_of(const json& object, const char* field)
{
    const auto it = object.find(field);
    return it != object.end() && it->is_string() ? it->get<std::string>()
                                                 : std::string();
}

bool is_hash(const std::string& text)
{
    return text.size() == hash_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// @brief Sequential reads; kept alive by the callback of the pending read.
class chunk_fetch : public std::enable_shared_from_this<chunk_fetch>
{
public:
    chunk_fetch(store& from, std::vector<std::string> hashes,
                duration call_timeout, store::callback<chunk_map> done)
        : store_(from), hashes_(std::move(hashes)), call_timeout_(call_timeout),
          done_(std::move(done))
    {
    }

    void next()
    {
        if (chunks_.size() == hashes_.size())
        {
            done_(std::move(chunks_));
            return;
        }
        store_.read(store_keys::site_map_chunks + hashes_[chunks_.size()],
                    call_timeout_,
                    [self = shared_from_this()](
                        result<std::optional<store_value>> answer)
                    { self->on_chunk(std::move(answer)); });
    }

private:
    void on_chunk(result<std::optional<store_value>> answer)
    {
        const std::string& hash = hashes_[chunks_.size()];
        if (!answer)
        {
            done_(answer.as_failure());
            return;
        }
        if (!answer.value())
        {
            done_(fail(errc::not_found,
                       "site map chunk '" + hash + "' is missing"));
            return;
        }
        chunks_.emplace(hash, std::move(answer.value()->value));
        next();
    }

    store& store_;
    std::vector<std::string> hashes_;
    duration call_timeout_;
    store::callback<chunk_map> done_;
    chunk_map chunks_;
};

} // namespace

std::string site_map_document::hash() const
{
    return sha256_hex(encode(manifest) + sites_hash);
}

std::string to_json(const site_map_document& document)
{
    const json out = {{"write_id", document.write_id},
                      {"manifest", base64_encode(encode(document.manifest))},
                      {"sites", document.sites_hash}};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<site_map_document> parse_site_map_document(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
    {
        return fail(errc::parse_error, "the site map is not a JSON object");
    }
    site_map_document out;
    out.write_id = text_of(object, "write_id");
    out.sites_hash = text_of(object, "sites");
    if (!is_hash(out.sites_hash))
    {
        return fail(errc::parse_error,
                    "site map field 'sites' is not a SHA-256 in hexadecimal");
    }
    const auto bytes = base64_decode(text_of(object, "manifest"));
    if (!bytes)
    {
        return fail(errc::parse_error,
                    "site map field 'manifest' is not valid Base64: " +
                        bytes.error().message);
    }
    auto manifest = parse_site_map_manifest(bytes.value());
    if (!manifest)
    {
        return manifest.as_failure();
    }
    out.manifest = std::move(manifest).value();
    return out;
}

std::string encode_sites(const std::vector<site>& sites)
{
    json out = json::array();
    for (const auto& item : sites)
    {
        out.push_back(item.name.empty()
                          ? json()
                          : json{{"name", item.name}, {"region", item.region}});
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<std::vector<site>> parse_sites(std::string_view content,
                                      const std::string& hash)
{
    if (sha256_hex(content) != hash)
    {
        return fail(errc::parse_error,
                    "the list of sites does not match the hash " + hash);
    }
    const json list = json::parse(content, nullptr, false);
    if (!list.is_array() || list.size() > no_site)
    {
        return fail(errc::parse_error,
                    "the list of sites is not an array of at most 255 sites");
    }
    std::vector<site> out;
    for (const json& item : list)
    {
        out.push_back(item.is_object()
                          ? site{text_of(item, "name"), text_of(item, "region")}
                          : site{});
    }
    return out;
}

std::optional<site_number> find_site(const std::vector<site>& sites,
                                     std::string_view name)
{
    const auto it =
        std::find_if(sites.begin(), sites.end(),
                     [name](const site& item) { return item.name == name; });
    if (name.empty() || it == sites.end())
    {
        return std::nullopt;
    }
    return static_cast<site_number>(it - sites.begin());
}

void fetch_chunks(store& from, std::vector<std::string> hashes,
                  duration call_timeout, store::callback<chunk_map> done)
{
    // A manifest may name a chunk twice; each is read once.
    std::sort(hashes.begin(), hashes.end());
    hashes.erase(std::unique(hashes.begin(), hashes.end()), hashes.end());
    std::make_shared<chunk_fetch>(from, std::move(hashes), call_timeout,
                                  std::move(done))
        ->next();
}

} // namespace siskinflow::routing
