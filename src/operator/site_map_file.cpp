#include "site_map_file.hpp"

#include <algorithm>
#include <cctype>
#include <unordered_map>

namespace siskinflow::operator_detail
{

using namespace routing;

namespace
{

/// Further faults are only counted: a file in another format has one per line.
constexpr std::size_t max_faults = 10;
constexpr std::size_t max_site_name_bytes = 64;
constexpr std::string_view site_keyword = "site";

bool is_valid_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_site_name_bytes &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char c) {
                           return std::isalnum(c) != 0 || c == '.' ||
                                  c == '_' || c == '-';
                       });
}

/// @brief Words of a line without its comment.
std::vector<std::string_view> split_words(std::string_view line)
{
    constexpr std::string_view blanks = " \t\r";
    line = line.substr(0, line.find('#'));
    std::vector<std::string_view> out;
    for (auto begin = line.find_first_not_of(blanks);
         begin != std::string_view::npos;
         begin = line.find_first_not_of(blanks))
    {
        line.remove_prefix(begin);
        out.push_back(line.substr(0, line.find_first_of(blanks)));
        line.remove_prefix(out.back().size());
    }
    return out;
}

class site_map_parser
{
public:
    explicit site_map_parser(const std::vector<site>& published_sites)
        : published_sites_(published_sites)
    {
    }

    result<site_map_file> read(std::string_view text)
    {
        while (!text.empty())
        {
            const auto end = text.find('\n');
            ++line_number_;
            read_line(split_words(text.substr(0, end)));
            text.remove_prefix(end == std::string_view::npos ? text.size()
                                                             : end + 1);
        }
        sort_and_check_blocks();
        if (fault_count_ != 0)
        {
            return fail(errc::parse_error, fault_text());
        }
        return build();
    }

private:
    struct block_line
    {
        site_block entry; ///< Site: index into `sites_`.
        std::size_t line;
    };

    void add_fault(std::size_t line, std::string_view value,
                   const std::string& correction)
    {
        if (++fault_count_ <= max_faults)
        {
            fault_lines_ += "line " + std::to_string(line) + ": '" +
                            std::string(value) + "' " + correction + "\n";
        }
    }

    std::string fault_text() const
    {
        return fault_count_ <= max_faults
                   ? fault_lines_
                   : fault_lines_ + "and " +
                         std::to_string(fault_count_ - max_faults) +
                         " more faults\n";
    }

    void read_line(const std::vector<std::string_view>& words)
    {
        if (words.empty())
        {
            return;
        }
        if (words[0] == site_keyword)
        {
            read_site(words);
            return;
        }
        if (words.size() != 2)
        {
            add_fault(
                line_number_, words[0],
                "does not begin a line 'PREFIX SITE' or 'site SITE REGION'; "
                "give two words for a block, three for a site");
            return;
        }
        read_block(words[0], words[1]);
    }

    void read_site(const std::vector<std::string_view>& words)
    {
        if (words.size() != 3)
        {
            add_fault(line_number_, words.back(),
                      "ends a line that is not 'site SITE REGION'; give a site "
                      "and its region");
            return;
        }
        for (const auto& word : {words[1], words[2]})
        {
            if (!is_valid_name(word))
            {
                add_fault(
                    line_number_, word,
                    "is not a name; give 1 to 64 letters, digits, '.', '_' "
                    "or '-'");
                return;
            }
        }
        if (!blocks_.empty())
        {
            add_fault(line_number_, words[1],
                      "is listed after the first block; list all sites first");
            return;
        }
        if (sites_.size() == no_site)
        {
            add_fault(line_number_, words[1],
                      "is one site too many; list at most 255");
            return;
        }
        const bool added =
            number_by_name_
                .emplace(words[1], static_cast<site_number>(sites_.size()))
                .second;
        if (!added)
        {
            add_fault(line_number_, words[1],
                      "is listed twice; remove one of the lines");
            return;
        }
        sites_.push_back({std::string(words[1]), std::string(words[2])});
    }

    void read_block(std::string_view prefix, std::string_view name)
    {
        const auto block = parse_ip_block(prefix);
        if (!block)
        {
            add_fault(line_number_, prefix,
                      "is not a block (" + block.error().message +
                          "); give an address, '/' and a length, with no bits "
                          "set after the prefix, such as 192.0.2.0/24");
            return;
        }
        const auto it = number_by_name_.find(std::string(name));
        if (it == number_by_name_.end())
        {
            add_fault(line_number_, name,
                      "is not a listed site; add a line 'site " +
                          std::string(name) + " REGION' before the blocks");
            return;
        }
        blocks_.push_back({{block.value(), it->second}, line_number_});
    }

    /// @brief Sorts the blocks and refuses those that are listed twice.
    void sort_and_check_blocks()
    {
        std::stable_sort(blocks_.begin(), blocks_.end(),
                         [](const block_line& a, const block_line& b)
                         { return a.entry.block < b.entry.block; });
        for (std::size_t i = 1; i < blocks_.size(); ++i)
        {
            if (blocks_[i].entry.block == blocks_[i - 1].entry.block)
            {
                add_fault(blocks_[i].line, sites_[blocks_[i].entry.site].name,
                          "is given for a block that line " +
                              std::to_string(blocks_[i - 1].line) +
                              " gives too; remove one of the lines");
            }
        }
    }

    /// @brief Numbers the sites: published sites keep their numbers, new ones
    /// get the lowest free numbers.
    std::vector<site_number>
    assign_site_numbers(std::vector<site>& sites_by_number) const
    {
        std::vector<site_number> numbers(sites_.size(), no_site);
        for (std::size_t i = 0; i < sites_.size(); ++i)
        {
            if (const auto number = find_site(published_sites_, sites_[i].name))
            {
                numbers[i] = *number;
                sites_by_number.resize(std::max<std::size_t>(
                    sites_by_number.size(), std::size_t{*number} + 1));
                sites_by_number[*number] = sites_[i];
            }
        }
        std::size_t free_number = 0;
        for (std::size_t i = 0; i < sites_.size(); ++i)
        {
            if (numbers[i] != no_site)
            {
                continue;
            }
            while (free_number < sites_by_number.size() &&
                   !sites_by_number[free_number].name.empty())
            {
                ++free_number;
            }
            sites_by_number.resize(
                std::max(sites_by_number.size(), free_number + 1));
            sites_by_number[free_number] = sites_[i];
            numbers[i] = static_cast<site_number>(free_number);
        }
        return numbers;
    }

    result<site_map_file> build() const
    {
        site_map_file out;
        const auto numbers = assign_site_numbers(out.sites);
        site_map_builder builder;
        for (const auto& line : blocks_)
        {
            const auto added =
                builder.set(line.entry.block, numbers[line.entry.site]);
            if (!added)
            {
                return added.as_failure();
            }
        }
        out.map = builder.build();
        return out;
    }

    const std::vector<site>& published_sites_;
    std::vector<site> sites_;
    std::unordered_map<std::string, site_number> number_by_name_;
    std::vector<block_line> blocks_;
    std::size_t line_number_ = 0;
    std::size_t fault_count_ = 0;
    std::string fault_lines_;
};

} // namespace

result<site_map_file>
parse_site_map_file(std::string_view text,
                    const std::vector<site>& published_sites)
{
    return site_map_parser(published_sites).read(text);
}

} // namespace siskinflow::operator_detail
