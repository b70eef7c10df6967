#include <siskinflow/core/ids.hpp>
#include <siskinflow/routing/site_map_chunks.hpp>

#include <algorithm>
#include <map>

namespace siskinflow::routing
{

namespace
{

constexpr std::string_view magic = "SKM1";
constexpr unsigned char format_version = 1;
constexpr std::size_t hash_bytes = 32;
constexpr std::size_t header_bytes = 13;
constexpr char base_tag = 'B';
constexpr char delta_tag = 'D';
constexpr int key_bits = 64;
constexpr unsigned char v6_flag = 64;
constexpr int max_v4_length = 32;
// On average one block in 65,536 begins a new chunk.
constexpr std::uint64_t boundary_mask = 0xFFFF;
// Length, varint of 64 bits, site.
constexpr std::size_t max_block_bytes = 12;

void append_number(std::string& out, std::uint64_t value, int bytes)
{
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    {
        out.push_back(static_cast<char>(value >> shift));
    }
}

std::uint64_t read_number(std::string_view bytes, std::size_t at, int count)
{
    std::uint64_t value = 0;
    for (int i = 0; i < count; ++i)
    {
        value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
    }
    return value;
}

unsigned hex_digit(char digit)
{
    return digit <= '9' ? digit - '0' : digit - 'a' + 10;
}

void append_hash(std::string& out, const std::string& hex)
{
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    {
        out.push_back(
            static_cast<char>(hex_digit(hex[i]) << 4 | hex_digit(hex[i + 1])));
    }
}

std::string read_hash(std::string_view bytes, std::size_t at)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (const char byte : bytes.substr(at, hash_bytes))
    {
        out.push_back(digits[static_cast<unsigned char>(byte) >> 4]);
        out.push_back(digits[byte & 0xF]);
    }
    return out;
}

/// Shift of the unit of the distance between two blocks; 64 means that both
/// are /0.
int distance_shift(int length, int previous_length)
{
    return key_bits - std::max(length, previous_length);
}

/// Writes blocks relative to the previous one.
class block_encoder
{
public:
    explicit block_encoder(char tag) : bytes_(1, tag) {}

    void add(const site_block& entry)
    {
        if (entry.block.v6 != previous_.v6)
        {
            previous_ = {entry.block.v6, 0, 0};
        }
        const int shift = distance_shift(entry.block.length, previous_.length);
        const std::uint64_t distance =
            shift == key_bits ? 0
                              : (entry.block.start - previous_.start) >> shift;
        bytes_.push_back(static_cast<char>(entry.block.length +
                                           (entry.block.v6 ? v6_flag : 0)));
        append_varint(distance);
        bytes_.push_back(static_cast<char>(entry.site));
        previous_ = entry.block;
    }

    std::size_t size() const
    {
        return bytes_.size();
    }

    std::string finish()
    {
        return std::move(bytes_);
    }

private:
    void append_varint(std::uint64_t value)
    {
        for (; value >= 0x80; value >>= 7)
        {
            bytes_.push_back(static_cast<char>(value | 0x80));
        }
        bytes_.push_back(static_cast<char>(value));
    }

    std::string bytes_;
    ip_block previous_;
};

/// Reads what `block_encoder` writes.
class block_decoder
{
public:
    block_decoder(std::string_view bytes, char tag)
        : bytes_(bytes), valid_(!bytes.empty() && bytes.front() == tag)
    {
        bytes_.remove_prefix(valid_ ? 1 : 0);
    }

    /// The next block, or nothing at the end or at an error.
    std::optional<site_block> next()
    {
        if (!valid_ || bytes_.empty())
        {
            return std::nullopt;
        }
        const unsigned char length_byte = read_byte();
        // IPv6 lengths are encoded as 64 to 128, IPv4 lengths as 0 to 32.
        const bool v6 = length_byte >= v6_flag;
        const int length = v6 ? length_byte - v6_flag : length_byte;
        valid_ = length <= (v6 ? max_v6_length : max_v4_length);
        if (v6 != previous_.v6)
        {
            previous_ = {v6, 0, 0};
        }
        const std::uint64_t distance = read_varint();
        const site_number site = read_byte();
        const auto start = start_at(distance, length);
        valid_ = valid_ && start;
        if (!valid_)
        {
            return std::nullopt;
        }
        previous_ = {v6, *start, static_cast<std::uint8_t>(length)};
        return site_block{previous_, site};
    }

    /// Whether all of the chunk was read.
    bool complete() const
    {
        return valid_ && bytes_.empty();
    }

private:
    std::optional<std::uint64_t> start_at(std::uint64_t distance,
                                          int length) const
    {
        const int shift = distance_shift(length, previous_.length);
        if (shift < 0 || shift >= key_bits)
        {
            return distance == 0 && shift == key_bits
                       ? std::optional(previous_.start)
                       : std::nullopt;
        }
        const std::uint64_t offset = distance << shift;
        const std::uint64_t start = previous_.start + offset;
        return offset >> shift == distance && start >= offset
                   ? std::optional(start)
                   : std::nullopt;
    }

    unsigned char read_byte()
    {
        if (bytes_.empty())
        {
            valid_ = false;
            return 0;
        }
        const auto byte = static_cast<unsigned char>(bytes_.front());
        bytes_.remove_prefix(1);
        return byte;
    }

    std::uint64_t read_varint()
    {
        std::uint64_t value = 0;
        for (int shift = 0; shift < key_bits; shift += 7)
        {
            const unsigned char byte = read_byte();
            value |= std::uint64_t(byte & 0x7F) << shift;
            if (byte < 0x80)
            {
                return value;
            }
        }
        valid_ = false;
        return value;
    }

    std::string_view bytes_;
    bool valid_ = true;
    ip_block previous_;
};

bool is_chunk_boundary(const ip_block& block)
{
    std::uint64_t hash = block.start + block.length + (block.v6 ? 1 : 0);
    hash = (hash ^ (hash >> 32)) * 0x9E3779B97F4A7C15U;
    return ((hash >> 40) & boundary_mask) == 0;
}

auto malformed_chunk(const std::string& hash)
{
    return fail(errc::parse_error, "site map chunk " + hash + " is malformed");
}

result<std::vector<site_block>> decode_delta(const std::string& hash,
                                             const std::string& content)
{
    std::vector<site_block> out;
    block_decoder decoder(content, delta_tag);
    while (const auto entry = decoder.next())
    {
        out.push_back(*entry);
    }
    if (!decoder.complete())
    {
        return malformed_chunk(hash);
    }
    return out;
}

std::string encode_delta(const std::vector<site_block>& changes)
{
    block_encoder encoder(delta_tag);
    for (const auto& change : changes)
    {
        encoder.add(change);
    }
    return encoder.finish();
}

/// Reads a chunk and verifies its hash.
result<std::string> read_verified(const std::string& hash,
                                  const site_map_replica::chunk_source& chunks)
{
    auto content = chunks(hash);
    if (!content)
    {
        return fail(errc::not_found, "site map chunk " + hash + " is missing");
    }
    if (sha256_hex(*content) != hash)
    {
        return fail(errc::parse_error,
                    "site map chunk " + hash + " does not match its hash");
    }
    return std::move(*content);
}

result<void> append_base(const std::string& hash, const std::string& content,
                         site_map::writer& out)
{
    block_decoder decoder(content, base_tag);
    while (const auto entry = decoder.next())
    {
        if (!out.add(*entry))
        {
            return malformed_chunk(hash);
        }
    }
    if (!decoder.complete())
    {
        return malformed_chunk(hash);
    }
    return ok();
}

std::vector<std::string> hashes_of(const std::vector<std::string>& chunks)
{
    std::vector<std::string> out;
    out.reserve(chunks.size());
    for (const auto& chunk : chunks)
    {
        out.push_back(sha256_hex(chunk));
    }
    return out;
}

} // namespace

std::string encode(const site_map_manifest& manifest)
{
    std::string out(magic);
    out.push_back(static_cast<char>(format_version));
    append_number(out, manifest.base.size(), 2);
    append_number(out, manifest.deltas.size(), 2);
    append_number(out, manifest.blocks, 4);
    for (const auto* hashes : {&manifest.base, &manifest.deltas})
    {
        for (const auto& hash : *hashes)
        {
            append_hash(out, hash);
        }
    }
    return out;
}

result<site_map_manifest> parse_site_map_manifest(std::string_view bytes)
{
    if (bytes.size() < header_bytes || !bytes.starts_with(magic) ||
        bytes[magic.size()] != format_version)
    {
        return fail(errc::parse_error, "site map manifest has no header of "
                                       "a supported version");
    }
    const std::size_t base = read_number(bytes, 5, 2);
    const std::size_t deltas = read_number(bytes, 7, 2);
    if (deltas > max_deltas ||
        bytes.size() != header_bytes + (base + deltas) * hash_bytes)
    {
        return fail(errc::parse_error,
                    "site map manifest has a wrong number of chunks");
    }
    site_map_manifest out;
    out.blocks = static_cast<std::uint32_t>(read_number(bytes, 9, 4));
    for (std::size_t i = 0; i < base + deltas; ++i)
    {
        auto& list = i < base ? out.base : out.deltas;
        list.push_back(read_hash(bytes, header_bytes + i * hash_bytes));
    }
    return out;
}

std::vector<std::string> encode_base(const site_map& map)
{
    std::vector<std::string> out;
    block_encoder encoder(base_tag);
    map.for_each(
        [&](const site_block& entry)
        {
            const bool start_chunk =
                encoder.size() > 1 &&
                (is_chunk_boundary(entry.block) ||
                 encoder.size() + max_block_bytes > max_chunk_bytes);
            if (start_chunk)
            {
                out.push_back(encoder.finish());
                encoder = block_encoder(base_tag);
            }
            encoder.add(entry);
        });
    if (encoder.size() > 1)
    {
        out.push_back(encoder.finish());
    }
    return out;
}

struct site_map_replica::impl
{
    /// Base chunks that encode the map in use, by hash.
    const std::vector<std::string>& own_hashes() const
    {
        if (!own_encoded)
        {
            own_chunks = encode_base(*map);
            own_chunk_hashes = hashes_of(own_chunks);
            own_encoded = true;
        }
        return own_chunk_hashes;
    }

    std::optional<std::string> own_chunk(const std::string& hash) const
    {
        const auto& hashes = own_hashes();
        const auto it = std::find(hashes.begin(), hashes.end(), hash);
        if (it == hashes.end())
        {
            return std::nullopt;
        }
        return own_chunks[static_cast<std::size_t>(it - hashes.begin())];
    }

    void clear_own_chunks() const
    {
        own_chunks = {};
        own_chunk_hashes = {};
        own_encoded = false;
    }

    /// Whether `next` only adds deltas to the manifest in use.
    bool extends(const site_map_manifest& next) const
    {
        return next.base == manifest.base &&
               next.deltas.size() >= manifest.deltas.size() &&
               std::equal(manifest.deltas.begin(), manifest.deltas.end(),
                          next.deltas.begin());
    }

    result<site_map> read_base(const site_map_manifest& next,
                               const chunk_source& chunks) const
    {
        site_map::writer out;
        for (const auto& hash : next.base)
        {
            auto own = own_chunk(hash);
            auto content = own ? result<std::string>(std::move(*own))
                               : read_verified(hash, chunks);
            if (!content)
            {
                return content.as_failure();
            }
            const auto added = append_base(hash, content.value(), out);
            if (!added)
            {
                return added.as_failure();
            }
        }
        return out.finish();
    }

    /// Reads the deltas from `first` on into one list of changes, in which a
    /// later change of a block replaces an earlier one.
    result<std::vector<site_block>>
    read_deltas(const std::vector<std::string>& deltas, std::size_t first,
                const chunk_source& chunks) const
    {
        std::map<ip_block, site_number> site_by_block;
        for (std::size_t i = first; i < deltas.size(); ++i)
        {
            const auto content = read_verified(deltas[i], chunks);
            if (!content)
            {
                return content.as_failure();
            }
            const auto changes = decode_delta(deltas[i], content.value());
            if (!changes)
            {
                return changes.as_failure();
            }
            for (const auto& change : changes.value())
            {
                site_by_block[change.block] = change.site;
            }
        }
        std::vector<site_block> out;
        out.reserve(site_by_block.size());
        for (const auto& [block, site] : site_by_block)
        {
            out.push_back({block, site});
        }
        return out;
    }

    /// Applies the deltas from `first` on in one pass over the map.
    result<std::shared_ptr<const site_map>>
    apply_deltas(std::shared_ptr<const site_map> base,
                 const std::vector<std::string>& deltas, std::size_t first,
                 const chunk_source& chunks) const
    {
        const auto changes = read_deltas(deltas, first, chunks);
        if (!changes)
        {
            return changes.as_failure();
        }
        if (changes.value().empty())
        {
            return base;
        }
        auto changed = base->with_changes(changes.value());
        if (!changed)
        {
            return changed.as_failure();
        }
        return std::make_shared<const site_map>(std::move(changed).value());
    }

    /// The map that a manifest describes.
    result<std::shared_ptr<const site_map>>
    read(const site_map_manifest& next, const chunk_source& chunks) const
    {
        if (extends(next))
        {
            return apply_deltas(map, next.deltas, manifest.deltas.size(),
                                chunks);
        }
        if (next.base == own_hashes())
        {
            return apply_deltas(map, next.deltas, 0, chunks);
        }
        auto base = read_base(next, chunks);
        if (!base)
        {
            return base.as_failure();
        }
        return apply_deltas(
            std::make_shared<const site_map>(std::move(base).value()),
            next.deltas, 0, chunks);
    }

    std::shared_ptr<const site_map> map = std::make_shared<const site_map>();
    site_map_manifest manifest;
    mutable bool own_encoded = false;
    mutable std::vector<std::string> own_chunks;
    mutable std::vector<std::string> own_chunk_hashes;
};

site_map_replica::site_map_replica() : impl_(std::make_unique<impl>()) {}
site_map_replica::~site_map_replica() = default;

std::shared_ptr<const site_map> site_map_replica::map() const
{
    return impl_->map;
}

const site_map_manifest& site_map_replica::manifest() const
{
    return impl_->manifest;
}

std::vector<std::string>
site_map_replica::missing_chunks(const site_map_manifest& next) const
{
    std::vector<std::string> out;
    std::size_t first_delta = 0;
    if (impl_->extends(next))
    {
        first_delta = impl_->manifest.deltas.size();
    }
    else
    {
        const auto& own = impl_->own_hashes();
        std::copy_if(
            next.base.begin(), next.base.end(), std::back_inserter(out),
            [&](const std::string& hash)
            { return std::find(own.begin(), own.end(), hash) == own.end(); });
    }
    out.insert(out.end(),
               next.deltas.begin() + static_cast<std::ptrdiff_t>(first_delta),
               next.deltas.end());
    return out;
}

result<void> site_map_replica::load(const site_map_manifest& next,
                                    const chunk_source& chunks)
{
    auto read = impl_->read(next, chunks);
    impl_->clear_own_chunks();
    if (!read)
    {
        return read.as_failure();
    }
    if (read.value()->size() != next.blocks)
    {
        return fail(errc::parse_error,
                    "site map has " + std::to_string(read.value()->size()) +
                        " blocks instead of " + std::to_string(next.blocks));
    }
    impl_->map = std::move(read).value();
    impl_->manifest = next;
    return ok();
}

site_map_release site_map_replica::make_release(const site_map& next) const
{
    site_map_release out;
    const auto add_chunk = [&out](std::string content)
    {
        auto hash = sha256_hex(content);
        out.chunks.emplace_back(hash, std::move(content));
        return hash;
    };
    const auto add_base = [&](const site_map& map)
    {
        out.manifest.deltas.clear();
        out.manifest.base.clear();
        for (auto& chunk : encode_base(map))
        {
            out.manifest.base.push_back(add_chunk(std::move(chunk)));
        }
    };
    out.manifest = impl_->manifest;
    out.manifest.blocks = static_cast<std::uint32_t>(next.size());
    const auto changes = difference(*impl_->map, next);
    auto delta = encode_delta(changes);
    if (delta.size() > max_delta_bytes)
    {
        add_base(next);
        return out;
    }
    if (changes.empty())
    {
        return out;
    }
    if (out.manifest.deltas.size() == max_deltas)
    {
        add_base(*impl_->map);
    }
    out.manifest.deltas.push_back(add_chunk(std::move(delta)));
    return out;
}

} // namespace siskinflow::routing
