/// @file
/// @brief Nested sections for Criterion, which has none of its own.
#pragma once

#include <criterion/criterion.h>

#include <string>
#include <utility>

namespace test_sections
{

/// @brief Path of the sections entered, for failure messages.
inline std::string& path()
{
    static std::string value;
    return value;
}

/// @brief Runs a named part of a test. Sections nest; the names of the open
/// ones are printed if an assertion made through `expect` fails.
template <class Body>
void section(const std::string& name, Body&& body)
{
    const std::size_t outer = path().size();
    path() += (outer == 0 ? "" : " / ") + name;
    std::forward<Body>(body)();
    path().resize(outer);
}

} // namespace test_sections

/// @brief Asserts a condition and names the open sections if it fails.
#define EXPECT(condition)                                                      \
    cr_assert((condition), "%s: %s", test_sections::path().c_str(), #condition)
