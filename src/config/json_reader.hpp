/// @file
/// @brief Reads JSON objects field by field and collects all faults.
#pragma once

#include <siskinflow/core/error.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::config_detail
{

using nlohmann::json;

/// @brief Deepest nesting of a document; the schemas need six levels.
constexpr std::size_t max_json_depth = 16;

/// @brief Most faults that are listed; further ones are only counted.
constexpr std::size_t max_listed_faults = 100;

/// @brief Faults of one document.
class fault_list
{
public:
    void add(std::string_view path, std::string_view message);

    bool empty() const
    {
        return count_ == 0;
    }

    /// @brief All faults, one per line.
    std::string text() const;

private:
    std::vector<std::string> lines_;
    std::size_t count_ = 0;
};

/// @brief Describes a value in a message: its JSON text, cut if long, or its
/// kind if it is a list or an object.
std::string describe(const json& value);

/// @brief Parses a document; duplicate fields and deep nesting are faults.
std::optional<json> parse_document(std::string_view text, fault_list& faults);

/// @brief Inclusive range of a whole number.
struct integer_range
{
    std::uint64_t low;
    std::uint64_t high;
};

/// @brief Inclusive range of a number.
struct number_range
{
    double low;
    double high;
};

/// @brief Format of a text field.
struct text_format
{
    bool (*accepts)(std::string_view);
    const char* description;
    bool secret = false; ///< Never repeat the value in a message.
};

/// @brief Reads one object of a document. `finish` reports the fields that
/// were never requested.
class object_reader
{
public:
    object_reader(const json& value, std::string path, fault_list& faults);

    const std::string& path() const
    {
        return path_;
    }
    fault_list& faults() const
    {
        return faults_;
    }

    /// @brief A field, or null if it is absent or the value is not an object.
    const json* field(const char* name);

    /// @brief Reports an absent field.
    void require(const char* name, const char* expected);

    std::optional<std::string> text(const char* name,
                                    const text_format& format);
    std::optional<bool> boolean(const char* name);
    std::optional<std::uint64_t> integer(const char* name, integer_range range);
    std::optional<double> number(const char* name, number_range range);

    /// @brief A list of distinct texts.
    std::optional<std::vector<std::string>>
    texts(const char* name, const text_format& format, std::size_t max_items);

    /// @brief A list of distinct whole numbers.
    std::optional<std::vector<int>>
    integers(const char* name, integer_range range, std::size_t max_items);

    /// @brief Calls `read` for each item of a list of objects.
    void objects(const char* name,
                 const std::function<void(object_reader&)>& read);

    /// @brief Calls `read` for a nested object, if there is one.
    void object(const char* name,
                const std::function<void(object_reader&)>& read);

    /// @brief Reports fields that were never requested as unknown.
    void finish();

    std::string path_of(const char* name) const;

private:
    const json* list(const char* name);

    const json* value_ = nullptr; ///< Null if not an object.
    std::string path_;
    fault_list& faults_;
    std::set<std::string, std::less<>> requested_fields_;
};

} // namespace siskinflow::config_detail
