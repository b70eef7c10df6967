# Writes charts.cpp into the build folder: the text of each state chart as a
# string, so that an installed daemon needs no data files.
file(GLOB chart_files CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/charts/*.json)
set(chart_entries "")
foreach(chart_file ${chart_files})
  get_filename_component(chart_name ${chart_file} NAME_WE)
  file(READ ${chart_file} chart_text)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${chart_file})
  string(APPEND chart_entries
    "    {\"${chart_name}\", R\"chart(${chart_text})chart\"},\n")
endforeach()
file(CONFIGURE OUTPUT ${CMAKE_BINARY_DIR}/generated/charts.cpp @ONLY CONTENT
"#include <siskinflow/core/state_chart.hpp>

namespace siskinflow
{

std::string_view chart_text(std::string_view name)
{
    static constexpr std::string_view charts[][2] = {
@chart_entries@    };
    for (const auto& chart : charts)
    {
        if (chart[0] == name)
        {
            return chart[1];
        }
    }
    return {};
}

} // namespace siskinflow
")
