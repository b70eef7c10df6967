/// @file
/// @brief What the searches for answers that pass for proof have in common.
#pragma once

#include "copies_fleet.hpp"

#include <cstdio>
#include <set>
#include <string>

namespace copies
{

inline constexpr std::size_t no_cut = std::string::npos;

inline std::string whole_body(const std::string& id)
{
    return "all of " + id;
}

inline std::string head_of(const std::string& status, const std::string& id)
{
    return "HTTP/1.1 " + status + "\r\nsiskinflow-request-id: " + id + "\r\n";
}

inline const std::string signature =
    "siskinflow-response-signature: signed\r\n";

// Answers to orders that have run.

inline std::string failed(const std::string& id)
{
    return head_of("500 Internal Server Error", id) +
           "content-length: 0\r\n\r\n";
}

inline std::string failed_without_length(const std::string& id)
{
    return head_of("500 Internal Server Error", id) + "\r\nfailure";
}

inline std::string failed_in_chunks(const std::string& id)
{
    return head_of("500 Internal Server Error", id) +
           "transfer-encoding: chunked\r\n\r\n7\r\nfailure\r\n0\r\n\r\n";
}

/// A failure behind an interim head that bears the request's id.
inline std::string failed_behind_interim(const std::string& id)
{
    return head_of("103 Early Hints", id) + "\r\n" + failed(id);
}

inline std::string served(const std::string& id)
{
    return head_of("200 OK", id) + signature +
           "content-length: " + std::to_string(whole_body(id).size()) +
           "\r\n\r\n" + whole_body(id);
}

inline std::string served_in_chunks(const std::string& id)
{
    constexpr char size_digits[] = "0123456789abcdef";
    const std::string body = whole_body(id);
    return head_of("200 OK", id) + signature +
           "transfer-encoding: chunked\r\n\r\n" +
           size_digits[body.size() / 16] + size_digits[body.size() % 16] +
           "\r\n" + body + "\r\n0\r\n\r\n";
}

inline std::string served_without_body(const std::string& id)
{
    return head_of("204 No Content", id) + signature + "\r\n";
}

inline std::string served_until_close(const std::string& id)
{
    return head_of("200 OK", id) + signature + "connection: close\r\n\r\n" +
           whole_body(id);
}

/// An answer that lacks a part of its body; a copy may fill the gap.
inline std::string served_in_part(const std::string& id)
{
    return head_of("200 OK", id) + signature +
           "content-length: " + std::to_string(whole_body(id).size() + 60) +
           "\r\n\r\n" + whole_body(id);
}

inline std::string served_in_part_of_chunk(const std::string& id)
{
    return head_of("200 OK", id) + signature +
           "transfer-encoding: chunked\r\n\r\n50\r\n" + whole_body(id);
}

inline std::string head_only(const std::string& id)
{
    return head_of("200 OK", id) + signature + "content-length: 9\r\n\r\n";
}

// Refusals of orders that have not run. The id is the last field, so that a
// copy cut in front of it has the proof but no id.

inline std::string refused_with(const std::string& status,
                                const std::string& fields,
                                const std::string& id)
{
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "server: maker\r\ncontent-length: 0\r\nsiskinflow-request-id: " +
           id + "\r\n\r\n";
}

inline const std::string not_run = "siskinflow-not-executed: 1\r\n";

inline std::string refused_503(const std::string& id)
{
    return refused_with("503 Service Unavailable", not_run, id);
}

inline std::string refused_429(const std::string& id)
{
    return refused_with("429 Too Many Requests", not_run, id);
}

inline std::string refused_421(const std::string& id)
{
    return refused_with("421 Misdirected Request", not_run, id);
}

inline std::string refused_421_of_another(const std::string& id)
{
    return refused_with("421 Misdirected Request",
                        "siskinflow-instance-id: another\r\n", id);
}

inline std::string refused_400(const std::string& id)
{
    return refused_with("400 Bad Request", not_run, id);
}

inline std::string refused_408(const std::string& id)
{
    return refused_with("408 Request Timeout", not_run, id);
}

inline std::string refused_500(const std::string& id)
{
    return refused_with("500 Internal Server Error", not_run, id);
}

/// The gateway does not believe this one, because it is signed.
inline std::string refused_signed(const std::string& id)
{
    return refused_with("503 Service Unavailable",
                        not_run + "server: maker\r\n" + signature, id);
}

/// The gateway does not believe this one, because it is a success.
inline std::string refused_200(const std::string& id)
{
    return refused_with("200 OK", not_run, id);
}

inline std::string refused_with_body(const std::string& id)
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + not_run +
           "server: maker\r\nsiskinflow-request-id: " + id +
           "\r\ncontent-length: 7\r\n\r\nrefused";
}

inline std::string refused_in_chunks(const std::string& id)
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + not_run +
           "server: maker\r\nsiskinflow-request-id: " + id +
           "\r\ntransfer-encoding: chunked\r\n\r\n7\r\nrefused\r\n0\r\n\r\n";
}

inline std::string refused_id_first(const std::string& id)
{
    return head_of("503 Service Unavailable", id) + not_run +
           "content-length: 0\r\nserver: maker\r\n\r\n";
}

inline std::string refused_folded(const std::string& id)
{
    return refused_with("503 Service Unavailable",
                        not_run + "server: maker\r\n of targets\r\n", id);
}

inline std::string refused_lf_only(const std::string& id)
{
    std::string out = refused_503(id);
    std::erase(out, '\r');
    return out;
}

inline std::string refused_twice_said(const std::string& id)
{
    return refused_with("503 Service Unavailable", not_run + not_run, id);
}

inline std::string refused_http_1_0(const std::string& id)
{
    std::string out = refused_503(id);
    out[7] = '0';
    return out;
}

/// A copy cut behind its length is framed also without the next head.
inline std::string refused_length_first(const std::string& id)
{
    return refused_with("503 Service Unavailable",
                        not_run + "content-length: 0\r\n", id);
}

inline std::string refused_without_proof(const std::string& id)
{
    return refused_with("503 Service Unavailable", "", id);
}

/// Orders that break a promise, by the kind of the break.
struct broken_counts
{
    int answered = 0; ///< Orders that were answered with additional bytes.
    int ran_twice = 0;
    int ran_though_refused = 0;
    int not_whole = 0; ///< An unsigned or partial success, or a signed failure.
    std::set<std::size_t> cuts; ///< Of the copies that broke an order.

    int total() const
    {
        return ran_twice + ran_though_refused + not_whole;
    }

    void print(const std::string& name) const
    {
        std::printf("%s%s: of %d orders ran twice %d, ran though refused %d, "
                    "not whole %d",
                    total() > 0 ? "BROKEN " : "", name.c_str(), answered,
                    ran_twice, ran_though_refused, not_whole);
        if (!cuts.empty() && *cuts.begin() != no_cut)
        {
            std::printf("; cut at %zu to %zu (%zu positions)", *cuts.begin(),
                        *cuts.rbegin(), cuts.size());
        }
        std::printf("\n");
    }
};

/// Whether an answer is a partial or unsigned success, or a signed failure.
inline bool is_not_whole(const siskinflow::net::fetch_result& got,
                         const caller_request& sent)
{
    if (got.outcome != siskinflow::net::call_outcome::complete)
    {
        return false;
    }
    const siskinflow::net::http_response& answer = got.response;
    const bool is_signed =
        answer.headers.contains("siskinflow-response-signature");
    if (answer.status < 200 || answer.status >= 300)
    {
        return is_signed; // These targets sign no failure.
    }
    const bool has_body = answer.status != 204 && sent.method != "HEAD";
    return !is_signed || (has_body && answer.body != whole_body(sent.id));
}

inline bool is_refused(const siskinflow::net::fetch_result& got)
{
    return got.outcome == siskinflow::net::call_outcome::complete &&
           is_promise(got.response.status);
}

} // namespace copies
