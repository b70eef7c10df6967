#include <siskinflow/routing/site_map.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace siskinflow::routing
{

namespace
{

constexpr std::size_t group_size = 32;
constexpr int key_bits = 64;
constexpr int max_v4_length = 32;
// A shift by 64 is undefined, so a group that holds only /0 has a unit of 2^63.
constexpr int max_shift = key_bits - 1;

/// Last address of a block, as its first 64 bits.
std::uint64_t last_address(std::uint64_t start, int length)
{
    return length == 0
               ? std::numeric_limits<std::uint64_t>::max()
               : start | ((std::uint64_t(1) << (key_bits - length)) - 1);
}

bool is_valid(const ip_block& block)
{
    const int longest = block.v6 ? max_v6_length : max_v4_length;
    return block.length <= longest &&
           (block.start & last_address(0, block.length)) == 0;
}

struct block_entry
{
    std::uint64_t start = 0;
    std::uint8_t length = 0;
    site_number site = no_site;
};

struct group_info
{
    std::uint32_t first_word = 0; ///< Of the offsets.
    /// 1 + index of the innermost enclosing block, or 0.
    std::uint32_t enclosing_number = 0;
    std::uint8_t shift = 0; ///< Unit of the offsets: 2^shift.
    bool wide = false;      ///< Offsets take two words.
};

/// Blocks of one address family.
struct block_table
{
    std::optional<site_number> find(std::uint64_t key) const;
    block_entry at(std::size_t index) const;
    std::size_t group_of(std::uint64_t key) const;
    std::size_t last_not_after(std::size_t group, std::uint64_t distance) const;
    std::uint64_t offset(const group_info& info, std::size_t i) const;
    void shrink();
    std::size_t bytes() const;

    std::vector<std::uint64_t> bases; ///< By group.
    std::vector<group_info> groups;
    std::vector<std::uint32_t> words;  ///< Offsets.
    std::vector<std::uint8_t> lengths; ///< By block.
    std::vector<site_number> sites;    ///< By block.
};

std::uint64_t block_table::offset(const group_info& info, std::size_t i) const
{
    const std::uint32_t* word = words.data() + info.first_word;
    return info.wide ? std::uint64_t(word[2 * i + 1]) << 32 | word[2 * i]
                     : word[i];
}

block_entry block_table::at(std::size_t index) const
{
    const std::size_t group = index / group_size;
    const auto& info = groups[group];
    return {bases[group] + (offset(info, index % group_size) << info.shift),
            lengths[index], sites[index]};
}

/// Last group that begins at or before the key; there must be one.
std::size_t block_table::group_of(std::uint64_t key) const
{
    std::size_t first = 0;
    for (std::size_t count = bases.size(); count > 1;)
    {
        const std::size_t half = count / 2;
        first += bases[first + half] <= key ? half : 0;
        count -= half;
    }
    return first;
}

/// Position in the group of the last block that starts at or before the
/// distance from the base.
std::size_t block_table::last_not_after(std::size_t group,
                                        std::uint64_t distance) const
{
    const auto& info = groups[group];
    const std::size_t count =
        std::min(group_size, lengths.size() - group * group_size);
    std::size_t count_not_after = 0;
    if (info.wide || count < group_size)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            count_not_after += offset(info, i) <= distance;
        }
        return count_not_after - 1;
    }
    const auto limit = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        distance, std::numeric_limits<std::uint32_t>::max()));
    const std::uint32_t* word = words.data() + info.first_word;
    // The fixed number of steps lets the compiler use vector instructions.
    for (std::size_t i = 0; i < group_size; ++i)
    {
        count_not_after += word[i] <= limit;
    }
    return count_not_after - 1;
}

std::optional<site_number> block_table::find(std::uint64_t key) const
{
    if (bases.empty() || key < bases.front())
    {
        return std::nullopt;
    }
    std::size_t group = group_of(key);
    std::uint64_t distance = (key - bases[group]) >> groups[group].shift;
    std::size_t i = last_not_after(group, distance);
    while (true)
    {
        const auto& info = groups[group];
        for (std::size_t left = i + 1; left > 0; --left)
        {
            const std::size_t index = group * group_size + left - 1;
            const int block_bits = key_bits - lengths[index] - info.shift;
            const std::uint64_t offset_in_block =
                distance - offset(info, left - 1);
            if (block_bits >= key_bits || offset_in_block >> block_bits == 0)
            {
                return sites[index];
            }
        }
        if (info.enclosing_number == 0)
        {
            return std::nullopt;
        }
        group = (info.enclosing_number - 1) / group_size;
        i = (info.enclosing_number - 1) % group_size;
        distance = (key - bases[group]) >> groups[group].shift;
    }
}

void block_table::shrink()
{
    bases.shrink_to_fit();
    groups.shrink_to_fit();
    words.shrink_to_fit();
    lengths.shrink_to_fit();
    sites.shrink_to_fit();
}

std::size_t block_table::bytes() const
{
    return bases.capacity() * sizeof(bases[0]) +
           groups.capacity() * sizeof(groups[0]) +
           words.capacity() * sizeof(words[0]) + lengths.capacity() +
           sites.capacity();
}

/// Appends blocks to a table, group by group.
class table_writer
{
public:
    explicit table_writer(block_table& table) : table_(table) {}

    void add(const block_entry& entry)
    {
        while (!ancestors_.empty() && ancestors_.back().last < entry.start)
        {
            ancestors_.pop_back();
        }
        if (pending_count_ == 0)
        {
            enclosing_number_ =
                ancestors_.empty() ? 0 : ancestors_.back().number;
        }
        pending_blocks_[pending_count_++] = entry;
        ancestors_.push_back(
            {last_address(entry.start, entry.length), ++block_count_});
        if (pending_count_ == group_size)
        {
            flush();
        }
    }

    void flush()
    {
        if (pending_count_ == 0)
        {
            return;
        }
        int longest = 0;
        for (std::size_t i = 0; i < pending_count_; ++i)
        {
            longest = std::max<int>(longest, pending_blocks_[i].length);
        }
        const std::uint64_t base = pending_blocks_[0].start;
        group_info info;
        info.first_word = static_cast<std::uint32_t>(table_.words.size());
        info.enclosing_number = enclosing_number_;
        info.shift =
            static_cast<std::uint8_t>(std::min(key_bits - longest, max_shift));
        info.wide = (pending_blocks_[pending_count_ - 1].start - base) >>
                    info.shift > std::numeric_limits<std::uint32_t>::max();
        for (std::size_t i = 0; i < pending_count_; ++i)
        {
            write_block(pending_blocks_[i], info, base);
        }
        table_.bases.push_back(base);
        table_.groups.push_back(info);
        pending_count_ = 0;
    }

private:
    struct ancestor
    {
        std::uint64_t last;
        std::uint32_t number; ///< 1 + index.
    };

    void write_block(const block_entry& entry, const group_info& info,
                     std::uint64_t base)
    {
        const std::uint64_t offset = (entry.start - base) >> info.shift;
        table_.words.push_back(static_cast<std::uint32_t>(offset));
        if (info.wide)
        {
            table_.words.push_back(static_cast<std::uint32_t>(offset >> 32));
        }
        table_.lengths.push_back(entry.length);
        table_.sites.push_back(entry.site);
    }

    block_table& table_;
    std::array<block_entry, group_size> pending_blocks_{};
    std::size_t pending_count_ = 0;
    std::uint32_t enclosing_number_ = 0;
    std::uint32_t block_count_ = 0;
    std::vector<ancestor> ancestors_; ///< Blocks that may enclose the next one.
};

} // namespace

bool ip_block::contains(const ip_address& address) const
{
    return address.v6 == v6 && address.high >= start &&
           address.high <= last_address(start, length);
}

result<ip_block> parse_ip_block(std::string_view text)
{
    const auto slash = text.find('/');
    const auto address = parse_ip_address(text.substr(0, slash));
    int length = -1;
    if (slash != std::string_view::npos)
    {
        const auto digits = text.substr(slash + 1);
        const char* end = digits.data() + digits.size();
        const auto [rest, code] =
            std::from_chars(digits.data(), end, length, 10);
        length = code == std::errc() && rest == end ? length : -1;
    }
    if (!address || length < 0)
    {
        return fail(errc::parse_error,
                    "'" + std::string(text) + "' is not an address block");
    }
    const ip_block block{address.value().v6, address.value().high,
                         static_cast<std::uint8_t>(std::min(length, 255))};
    if (!is_valid(block) || address.value().low != 0)
    {
        return fail(errc::invalid_argument,
                    "'" + std::string(text) +
                        "' has a length out of range or bits after its prefix");
    }
    return block;
}

struct site_map::impl
{
    const block_table& table(bool v6) const
    {
        return v6 ? v6_table : v4_table;
    }

    std::size_t size() const
    {
        return v4_table.lengths.size() + v6_table.lengths.size();
    }

    /// Block by its position in the order of all blocks.
    site_block at(std::size_t index) const
    {
        const bool v6 = index >= v4_table.lengths.size();
        const auto entry =
            table(v6).at(v6 ? index - v4_table.lengths.size() : index);
        return {{v6, entry.start, entry.length}, entry.site};
    }

    block_table v4_table;
    block_table v6_table;
};

site_map::site_map() : impl_(std::make_unique<impl>()) {}
site_map::~site_map() = default;
site_map::site_map(site_map&&) noexcept = default;
site_map& site_map::operator=(site_map&&) noexcept = default;

std::optional<site_number> site_map::find(const ip_address& address) const
{
    return impl_->table(address.v6).find(address.high);
}

std::size_t site_map::size() const
{
    return impl_->size();
}

std::size_t site_map::memory_bytes() const
{
    return sizeof(impl) + impl_->v4_table.bytes() + impl_->v6_table.bytes();
}

void site_map::for_each(
    const std::function<void(const site_block&)>& visit) const
{
    for (std::size_t i = 0; i < impl_->size(); ++i)
    {
        visit(impl_->at(i));
    }
}

result<site_map>
site_map::with_changes(const std::vector<site_block>& changes) const
{
    writer out;
    std::size_t next_old = 0;
    bool in_order = true;
    for (const auto& change : changes)
    {
        while (next_old < impl_->size() &&
               impl_->at(next_old).block < change.block)
        {
            in_order &= out.add(impl_->at(next_old++));
        }
        next_old += next_old < impl_->size() &&
                    impl_->at(next_old).block == change.block;
        if (change.site != no_site)
        {
            in_order &= out.add(change);
        }
    }
    while (next_old < impl_->size())
    {
        in_order &= out.add(impl_->at(next_old++));
    }
    if (!in_order)
    {
        return fail(errc::invalid_argument,
                    "site map changes are out of order or name an invalid "
                    "block");
    }
    return out.finish();
}

struct site_map::writer::state
{
    explicit state(site_map::impl& map) : v4(map.v4_table), v6(map.v6_table) {}

    table_writer v4;
    table_writer v6;
    std::optional<ip_block> last;
};

site_map::writer::writer()
    : map_(std::make_unique<site_map>()),
      state_(std::make_unique<state>(*map_->impl_))
{
}

site_map::writer::~writer() = default;

bool site_map::writer::add(const site_block& entry)
{
    if ((state_->last && !(*state_->last < entry.block)) ||
        !is_valid(entry.block) || entry.site == no_site)
    {
        return false;
    }
    state_->last = entry.block;
    auto& table = entry.block.v6 ? state_->v6 : state_->v4;
    table.add({entry.block.start, entry.block.length, entry.site});
    return true;
}

site_map site_map::writer::finish()
{
    state_->v4.flush();
    state_->v6.flush();
    map_->impl_->v4_table.shrink();
    map_->impl_->v6_table.shrink();
    return std::move(*map_);
}

result<void> site_map_builder::set(const ip_block& block, site_number site)
{
    if (!is_valid(block) || site == no_site)
    {
        return fail(errc::invalid_argument,
                    "block has a length out of range, bits after its prefix "
                    "or no site");
    }
    changes_.push_back({block, site});
    return ok();
}

void site_map_builder::remove(const ip_block& block)
{
    changes_.push_back({block, no_site});
}

namespace
{

/// The last change of each block in order, without removed blocks.
std::vector<site_block> final_assignments(std::vector<site_block> changes)
{
    std::stable_sort(changes.begin(), changes.end(),
                     [](const site_block& a, const site_block& b)
                     { return a.block < b.block; });
    std::vector<site_block> out;
    for (const auto& change : changes)
    {
        if (!out.empty() && out.back().block == change.block)
        {
            out.back().site = change.site;
        }
        else
        {
            out.push_back(change);
        }
    }
    std::erase_if(out, [](const site_block& entry)
                  { return entry.site == no_site; });
    return out;
}

bool halves_of_one_block(const site_block& a, const site_block& b)
{
    const std::uint64_t size = std::uint64_t(1) << (key_bits - a.block.length);
    return a.block.v6 == b.block.v6 && (a.block.start & size) == 0 &&
           b.block.start == a.block.start + size && a.site == b.site;
}

/// Merges pairs of halves among blocks of one length. Appends the blocks that
/// are not merged to `unmerged` and returns the merged ones.
std::vector<site_block> merge_halves(const std::vector<site_block>& blocks,
                                     std::vector<site_block>& unmerged)
{
    std::vector<site_block> merged;
    for (std::size_t i = 0; i < blocks.size(); ++i)
    {
        if (i + 1 < blocks.size() &&
            halves_of_one_block(blocks[i], blocks[i + 1]))
        {
            merged.push_back(blocks[i]);
            --merged.back().block.length;
            ++i;
        }
        else
        {
            unmerged.push_back(blocks[i]);
        }
    }
    return merged;
}

/// Union of two sorted lists; a merged block replaces an equal block.
std::vector<site_block> union_of(const std::vector<site_block>& merged,
                                 const std::vector<site_block>& blocks)
{
    std::vector<site_block> out;
    out.reserve(merged.size() + blocks.size());
    std::set_union(merged.begin(), merged.end(), blocks.begin(), blocks.end(),
                   std::back_inserter(out),
                   [](const site_block& a, const site_block& b)
                   { return a.block < b.block; });
    return out;
}

} // namespace

site_map site_map_builder::build() const
{
    std::array<std::vector<site_block>, max_v6_length + 1> by_length;
    for (const auto& entry : final_assignments(changes_))
    {
        by_length[entry.block.length].push_back(entry);
    }
    std::vector<site_block> unmerged;
    for (std::size_t length = max_v6_length; length > 0; --length)
    {
        const auto merged = merge_halves(by_length[length], unmerged);
        by_length[length] = {};
        by_length[length - 1] = union_of(merged, by_length[length - 1]);
    }
    unmerged.insert(unmerged.end(), by_length[0].begin(), by_length[0].end());
    std::sort(unmerged.begin(), unmerged.end(),
              [](const site_block& a, const site_block& b)
              { return a.block < b.block; });
    site_map::writer out;
    for (const auto& entry : unmerged)
    {
        out.add(entry);
    }
    return out.finish();
}

std::vector<site_block> difference(const site_map& from, const site_map& to)
{
    std::vector<site_block> old;
    old.reserve(from.size());
    from.for_each([&](const site_block& entry) { old.push_back(entry); });
    std::vector<site_block> out;
    std::size_t i = 0;
    const auto remove_before = [&](const ip_block* limit)
    {
        while (i < old.size() && (!limit || old[i].block < *limit))
        {
            out.push_back({old[i++].block, no_site});
        }
    };
    to.for_each(
        [&](const site_block& entry)
        {
            remove_before(&entry.block);
            const bool same = i < old.size() && old[i].block == entry.block;
            if (!same || old[i].site != entry.site)
            {
                out.push_back(entry);
            }
            i += same;
        });
    remove_before(nullptr);
    return out;
}

} // namespace siskinflow::routing
