/// @file
/// @brief Heads with statuses that no caller may ever get.
#pragma once

#include <string>
#include <vector>

namespace odd_statuses
{

/// @brief What follows the version in status lines that are not valid: statuses
/// outside 100 to 599, with fewer or more digits, signs or letters.
inline const std::vector<std::string>& lines()
{
    static const std::vector<std::string> out = {"000 OK",
                                                 "001 OK",
                                                 "020 OK",
                                                 "099 OK",
                                                 "600 OK",
                                                 "999 OK",
                                                 "2 OK",
                                                 "20 OK",
                                                 "2000 OK",
                                                 "0200 OK",
                                                 "00200 OK",
                                                 "10000 OK",
                                                 "OK",
                                                 "abc OK",
                                                 "2OO OK",
                                                 "2e2 OK",
                                                 "0x8 OK",
                                                 "+20 OK",
                                                 "-20 OK",
                                                 "+200 OK",
                                                 "-200 OK",
                                                 "-01 OK",
                                                 " 200 OK",
                                                 "200.0 OK",
                                                 "200OK",
                                                 "",
                                                 "\t200 OK",
                                                 "20\t OK",
                                                 "101 Switching Protocols"};
    return out;
}

/// @brief Status lines that are valid in an interim head and in no other.
inline const std::vector<std::string>& interim_lines()
{
    static const std::vector<std::string> out = {
        "100 Continue", "102 Processing", "103 Early Hints", "199 Odd"};
    return out;
}

/// @brief A whole answer. The line behind it ends a reader's wait for the head
/// that follows an interim one.
/// @param fields each with its line ending
inline std::string answer(const std::string& line, const std::string& fields)
{
    return "HTTP/1.1 " + line + "\r\n" + fields +
           "content-length: 2\r\n\r\nab\r\n";
}

/// @brief An interim head in front of a success.
inline std::string interim(const std::string& line, const std::string& fields)
{
    return "HTTP/1.1 " + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + fields +
           "content-length: 2\r\n\r\nab";
}

} // namespace odd_statuses
