/// @file
/// @brief A mirror's listener that keeps what it was told.
#pragma once

#include <siskinflow/store/store_mirror.hpp>

#include <map>
#include <string>
#include <vector>

/// @brief Copies mirrored entries into a map, counts the other calls, and
/// notes whether a key went back to an earlier position.
class map_listener final : public siskinflow::mirror_listener
{
public:
    void on_change(const siskinflow::store_change& change) override
    {
        siskinflow::store_position& last = positions_[change.key];
        went_back = went_back || change.position < last;
        last = change.position;
        if (change.removed)
        {
            values.erase(change.key);
        }
        else
        {
            values[change.key] = change.value;
        }
    }
    void on_new_era(std::uint64_t era) override
    {
        eras.push_back(era);
    }
    void on_listed() override
    {
        ++listings;
    }
    void on_unavailable(const siskinflow::error& /*reason*/) override
    {
        ++outages;
    }
    void on_available(siskinflow::duration /*down*/) override
    {
        ++recoveries;
    }

    std::map<std::string, std::string> values;
    std::vector<std::uint64_t> eras; ///< That began after the first listing.
    int listings = 0;
    int outages = 0;
    int recoveries = 0;
    bool went_back = false;

private:
    std::map<std::string, siskinflow::store_position> positions_;
};
