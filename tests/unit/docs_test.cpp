#include "test_sections.hpp"

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using test_sections::section;

namespace
{

constexpr std::size_t promises = 13;
constexpr std::size_t faults = 15;

std::string read(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" `");
    if (first == std::string::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" `") - first + 1);
}

/// Cells of the rows of the table, without its head.
std::vector<std::vector<std::string>> rows_of(const std::string& page)
{
    std::vector<std::vector<std::string>> rows;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);)
    {
        if (line.rfind("| I", 0) != 0)
        {
            continue;
        }
        std::vector<std::string> cells;
        std::istringstream parts(line.substr(1));
        for (std::string cell; std::getline(parts, cell, '|');)
        {
            cells.push_back(trimmed(cell));
        }
        rows.push_back(cells);
    }
    return rows;
}

std::set<std::string> tests_in_sources()
{
    std::set<std::string> names;
    const std::regex declaration(R"(Test\(\s*(\w+),\s*(\w+))");
    const std::string root = std::string(SISKINFLOW_SOURCE_DIR) + "/tests";
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(root))
    {
        if (entry.path().extension() != ".cpp")
        {
            continue;
        }
        const std::string text = read(entry.path());
        for (std::sregex_iterator found(text.begin(), text.end(), declaration),
             end;
             found != end; ++found)
        {
            names.insert((*found)[1].str() + "/" + (*found)[2].str());
        }
    }
    return names;
}

} // namespace

// Guards against a promise that the matrix calls proved by a test that does
// not exist, and against cells that nobody has looked at.
Test(docs_fault_matrix, names_existing_tests_for_every_cell)
{
    const auto rows = rows_of(
        read(std::string(SISKINFLOW_SOURCE_DIR) + "/docs/fault-matrix.md"));
    const auto known = tests_in_sources();
    std::set<std::pair<std::string, std::string>> cells;
    for (const auto& row : rows)
    {
        EXPECT(row.size() >= 4);
        cells.emplace(row[0], row[1]);
        const std::string& test = row[3];
        if (test == "open" || test.rfind("cannot occur: ", 0) == 0)
        {
            continue;
        }
        section(test, [&] { EXPECT(known.count(test) == 1); });
    }
    EXPECT(cells.size() == promises * faults);
}
