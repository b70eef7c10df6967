/// @file
/// @brief HTTP values shared by the server and the client.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinflow::net
{

/// @brief Header fields in order; names are lower case on arrival.
class http_headers
{
public:
    using field = std::pair<std::string, std::string>;

    http_headers() = default;
    http_headers(std::initializer_list<field> fields) : fields_(fields) {}

    /// @brief Makes room for a number of fields.
    void reserve(std::size_t count)
    {
        fields_.reserve(count);
    }

    /// @brief Appends a field.
    void add(std::string name, std::string value);

    /// @brief Replaces all fields of this name by one.
    void set(std::string_view name, std::string value);

    /// @brief Removes all fields of this name.
    void remove(std::string_view name);

    /// @brief Value of the first field of this name, or an empty view.
    std::string_view value(std::string_view name) const;

    /// @brief Whether a field of this name exists.
    bool contains(std::string_view name) const;

    /// @brief Number of fields of this name.
    std::size_t count(std::string_view name) const;

    /// @brief Removes the fields that apply to one connection only
    /// (RFC 9110, section 7.6.1), including those that `connection` names.
    void remove_hop_by_hop();

    auto begin() const
    {
        return fields_.begin();
    }
    auto end() const
    {
        return fields_.end();
    }
    std::size_t size() const
    {
        return fields_.size();
    }

private:
    std::vector<field> fields_;
};

/// @brief Whether two texts in ASCII are equal without regard to case.
bool equal_ignoring_case(std::string_view left, std::string_view right);

/// @brief A whole HTTP answer.
struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;
};

} // namespace siskinflow::net
