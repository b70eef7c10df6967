#include "test_sections.hpp"
#include <siskinflow/admission/refusal.hpp>
#include <siskinflow/entry/answers.hpp>

#include <nlohmann/json.hpp>

#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace siskinflow;
using test_sections::section;

namespace
{

std::string trimmed(std::string text)
{
    std::erase(text, '`');
    const auto first = text.find_first_not_of(' ');
    const auto last = text.find_last_not_of(' ');
    return first == std::string::npos ? ""
                                      : text.substr(first, last - first + 1);
}

std::ifstream open_page(const std::string& file)
{
    return std::ifstream(std::string(SISKINFLOW_SOURCE_DIR) + "/" + file);
}

/// Cells of a table row "| `name` | cell | ...".
using row = std::vector<std::string>;

/// Rows of the table under a heading of a page, without its head.
std::vector<row> table_under(const std::string& file,
                             const std::string& heading)
{
    std::ifstream page = open_page(file);
    std::vector<row> rows;
    bool inside = false;
    for (std::string line; std::getline(page, line);)
    {
        if (line.starts_with("#"))
        {
            inside = line == heading;
            continue;
        }
        if (!inside || !line.starts_with("| `"))
        {
            continue;
        }
        row cells;
        std::stringstream rest(line.substr(1));
        for (std::string cell; std::getline(rest, cell, '|');)
        {
            cells.push_back(trimmed(cell));
        }
        rows.push_back(cells);
    }
    return rows;
}

constexpr std::size_t reason_columns = 6;

} // namespace

// Guards against a refusal reason that is missing from the callers' page, and
// against a page that states another status than the one sent.
Test(entry_docs, the_callers_page_lists_each_refusal_reason)
{
    const auto rows = table_under("docs/callers.md", "## Refusal reasons");
    section("each row describes a reason of the code",
            [&]
            {
                std::set<std::string> known;
                for (std::size_t i = 0; i < refusal_reason_count; ++i)
                {
                    known.emplace(name(static_cast<refusal_reason>(i)));
                }
                for (const row& cells : rows)
                {
                    section(cells[0],
                            [&] { EXPECT(known.count(cells[0]) == 1); });
                }
            });
    section("each reason has one row, in the order of the code",
            [&]
            {
                EXPECT(rows.size() == refusal_reason_count);
                for (std::size_t i = 0; i < refusal_reason_count; ++i)
                {
                    section(std::string(name(static_cast<refusal_reason>(i))),
                            [&]
                            {
                                EXPECT(rows[i].size() == reason_columns);
                                EXPECT(rows[i][0] ==
                                       name(static_cast<refusal_reason>(i)));
                            });
                }
            });
    section("status, error number and Retry-After are those of the answer",
            [&]
            {
                for (std::size_t i = 1; i < refusal_reason_count; ++i)
                {
                    const auto reason = static_cast<refusal_reason>(i);
                    const auto answer = entry::refusal_response(reason);
                    const auto body = nlohmann::json::parse(answer.body);
                    const row& cells = rows[i];
                    section(
                        cells[0],
                        [&]
                        {
                            EXPECT(cells[1] == std::to_string(answer.status));
                            EXPECT(cells[2] == body["error"]["code"].dump());
                            EXPECT((cells[3] == "yes") ==
                                   answer.headers.contains("retry-after"));
                            EXPECT(!cells[4].empty());
                            EXPECT(!cells[5].empty());
                        });
                }
            });
}

// Guards against a page that is missing from the index.
Test(entry_docs, the_index_lists_pages_that_exist)
{
    std::ifstream index = open_page("docs/index.md");
    const std::string text((std::istreambuf_iterator<char>(index)),
                           std::istreambuf_iterator<char>());
    for (const char* page : {"callers.md", "operators.md", "release-note.md",
                             "settings.md", "siskinflowctl.md", "events.md",
                             "metrics.md", "glossary.md", "design.md"})
    {
        section(page,
                [&]
                {
                    EXPECT(text.find("(" + std::string(page) + ")") !=
                           std::string::npos);
                    EXPECT(open_page("docs/" + std::string(page)).good());
                });
    }
}
