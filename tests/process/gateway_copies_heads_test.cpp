#include "copies_search.hpp"
#include "test_sections.hpp"

#include <algorithm>
#include <condition_variable>
#include <optional>

using namespace siskinflow;
using namespace std::chrono_literals;
using namespace copies;
using test_sections::section;

// Searches for heads that prove what no target has said.

namespace
{

/// The head of an answer to an order that has run.
struct odd_head
{
    std::string name;
    std::string (*bytes)(const std::string& id);
};

const std::string id_field = "siskinflow-request-id: ";
const std::string no_body = "content-length: 0\r\n\r\n";

std::string status_503(const std::string& fields)
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + fields + no_body;
}

std::string status_421(const std::string& fields)
{
    return "HTTP/1.1 421 Misdirected Request\r\n" + fields + no_body;
}

std::string with_id(const std::string& id)
{
    return id_field + id + "\r\n";
}

const std::vector<odd_head> unproven_heads = {
    {"proof on a folded line",
     [](const std::string& id) {
         return status_503("siskinflow-not-executed:\r\n 1\r\n" + with_id(id));
     }},
    {"proof continues on a folded line",
     [](const std::string& id) {
         return status_503("siskinflow-not-executed: 1\r\n 0\r\n" +
                           with_id(id));
     }},
    {"proof folded onto another field",
     [](const std::string& id)
     {
         return status_503("server: m\r\n siskinflow-not-executed: 1\r\n" +
                           with_id(id));
     }},
    {"proof with a space in front of the colon", [](const std::string& id)
     { return status_503("siskinflow-not-executed : 1\r\n" + with_id(id)); }},
    {"proof with a space in front of the name",
     [](const std::string& id)
     {
         return status_503("x: y\r\n\tsiskinflow-not-executed: 1\r\n" +
                           with_id(id));
     }},
    {"proof behind a bare CR",
     [](const std::string& id)
     {
         return status_503("server: m\rsiskinflow-not-executed: 1\r\n" +
                           with_id(id));
     }},
    {"proof behind NUL",
     [](const std::string& id)
     {
         return status_503("server: m" + std::string(1, '\0') +
                           "\r\nsiskinflow-not-executed: 1\r\n" + with_id(id));
     }},
    {"NUL in the proof",
     [](const std::string& id)
     {
         return status_503("siskinflow-not-executed: 1" + std::string(1, '\0') +
                           "\r\n" + with_id(id));
     }},
    {"NUL in the id",
     [](const std::string& id) {
         return status_503(not_run + with_id(id + std::string(1, '\0') + "x"));
     }},
    {"bare CR in the id", [](const std::string& id)
     { return status_503(not_run + with_id(id + "\rx")); }},
    {"id continues on a folded line", [](const std::string& id)
     { return status_503(not_run + with_id(id + "\r\n -9")); }},
    {"id on a folded line", [](const std::string& id)
     { return status_503(not_run + id_field + "\r\n " + id + "\r\n"); }},
    {"another id and the id", [](const std::string& id)
     { return status_503(not_run + with_id("another") + with_id(id)); }},
    {"the id and another id", [](const std::string& id)
     { return status_503(not_run + with_id(id) + with_id("another")); }},
    {"ids in one field", [](const std::string& id)
     { return status_503(not_run + with_id(id + ", another")); }},
    {"longer id", [](const std::string& id)
     { return status_503(not_run + with_id(id + "0")); }},
    {"no id", [](const std::string&) { return status_503(not_run); }},
    {"proof 0", [](const std::string& id)
     { return status_503("siskinflow-not-executed: 0\r\n" + with_id(id)); }},
    {"proof true", [](const std::string& id)
     { return status_503("siskinflow-not-executed: true\r\n" + with_id(id)); }},
    {"proof twice in one field", [](const std::string& id)
     { return status_503("siskinflow-not-executed: 1, 0\r\n" + with_id(id)); }},
    {"proof 0 and 1",
     [](const std::string& id)
     {
         return status_503("siskinflow-not-executed: 0\r\n" + not_run +
                           with_id(id));
     }},
    {"proof in a field with another prefix", [](const std::string& id)
     { return status_503("x-siskinflow-not-executed: 1\r\n" + with_id(id)); }},
    {"proof in the reason",
     [](const std::string& id)
     {
         return "HTTP/1.1 503 siskinflow-not-executed: 1\r\n" + with_id(id) +
                no_body;
     }},
    {"proof and signature", [](const std::string& id)
     { return status_503(not_run + signature + with_id(id)); }},
    {"proof in an interim head",
     [](const std::string& id)
     {
         return "HTTP/1.1 103 Early Hints\r\n" + not_run + with_id(id) +
                "\r\n" + failed(id);
     }},
    {"a 503 as the interim head",
     [](const std::string& id)
     {
         return "HTTP/1.1 102 Processing\r\n" + not_run + "\r\n" +
                status_503(with_id(id));
     }},
    {"proof in a trailer",
     [](const std::string& id)
     {
         return "HTTP/1.1 503 Service Unavailable\r\n" + with_id(id) +
                "transfer-encoding: chunked\r\n\r\n0\r\n" + not_run + "\r\n";
     }},
    {"proof in the body",
     [](const std::string& id)
     {
         return "HTTP/1.1 503 Service Unavailable\r\n" + with_id(id) +
                "content-length: 28\r\n\r\n" + not_run;
     }},
    {"status with four digits",
     [](const std::string& id) {
         return "HTTP/1.1 5030 Unavailable\r\n" + not_run + with_id(id) +
                no_body;
     }},
    {"status line with two spaces",
     [](const std::string& id) {
         return "HTTP/1.1  503 Unavailable\r\n" + not_run + with_id(id) +
                no_body;
     }},
    {"another version",
     [](const std::string& id) {
         return "HTTP/2.0 503 Unavailable\r\n" + not_run + with_id(id) +
                no_body;
     }},
    {"an empty line in front", [](const std::string& id)
     { return "\r\n" + status_503(not_run + with_id(id)); }},
    {"a line without a colon",
     [](const std::string& id)
     {
         return status_503(not_run + "HTTP/1.1 500 Internal Server Error\r\n" +
                           with_id(id));
     }},
    {"an empty field name", [](const std::string& id)
     { return status_503(not_run + ": x\r\n" + with_id(id)); }},
    {"421 of the target itself", [](const std::string& id)
     { return status_421("siskinflow-instance-id: SELF\r\n" + with_id(id)); }},
    {"421 with an empty instance", [](const std::string& id)
     { return status_421("siskinflow-instance-id: \r\n" + with_id(id)); }},
    {"421 with an instance on a folded line",
     [](const std::string& id)
     {
         return status_421("siskinflow-instance-id:\r\n another\r\n" +
                           with_id(id));
     }},
};

/// Heads of successes that the caller is to receive in a form it can read.
const std::vector<odd_head> served_heads = {
    {"a folded line",
     [](const std::string& id)
     {
         return head_of("200 OK", id) + signature +
                "server: maker\r\n of targets\r\ncontent-length: " +
                std::to_string(whole_body(id).size()) + "\r\n\r\n" +
                whole_body(id);
     }},
    {"a folded line behind the signature",
     [](const std::string& id)
     {
         return head_of("200 OK", id) + signature +
                "\t more\r\ncontent-length: " +
                std::to_string(whole_body(id).size()) + "\r\n\r\n" +
                whole_body(id);
     }},
};

/// Heads that only joined answers have: a field comes twice, or a field holds a
/// status line.
const std::vector<odd_head> joined_heads = {
    {"proof said twice", [](const std::string& id)
     { return status_503(not_run + not_run + with_id(id)); }},
    {"proof 1 and 0",
     [](const std::string& id)
     {
         return status_503(not_run + "siskinflow-not-executed: 0\r\n" +
                           with_id(id));
     }},
    {"421 of two instances",
     [](const std::string& id)
     {
         return status_421("siskinflow-instance-id: another\r\n"
                           "siskinflow-instance-id: SELF\r\n" +
                           with_id(id));
     }},
    {"a status line in a field",
     [](const std::string& id)
     {
         return "HTTP/1.1 503 Service Unavailable\r\n" + not_run +
                "server: ma" + failed(id);
     }},
    {"a status line in the name of a field",
     [](const std::string& id)
     {
         return "HTTP/1.1 503 Service Unavailable\r\n" + not_run +
                "serHTTP/1.1: x\r\n" + with_id(id) + no_body;
     }},
};

/// Writes the id of the target in place of SELF.
std::string naming(const std::string& target, std::string bytes)
{
    const std::string self = "SELF";
    const auto at = bytes.find(self);
    return at == std::string::npos ? bytes
                                   : bytes.replace(at, self.size(), target);
}

/// Plays heads on orders that have run, and expects that none proves otherwise
/// and that the caller gets an answer.
void expect_no_proof(const std::vector<odd_head>& heads)
{
    constexpr int targets = 16;
    constexpr int plays = 3;
    std::mutex mutex;
    std::map<std::string, const odd_head*> by_order;
    raw_fleet fleet(targets,
                    [&](const raw_target::request& arrived) -> raw_target::reply
                    {
                        const std::lock_guard lock(mutex);
                        const auto found = by_order.find(arrived.id);
                        if (found == by_order.end())
                        {
                            return served(arrived.id);
                        }
                        const odd_head* head = found->second;
                        by_order.erase(found);
                        return naming(arrived.instance,
                                      head->bytes(arrived.id));
                    });
    std::string broken;
    for (const odd_head& head : heads)
    {
        broken_counts counts;
        for (int i = 0; i < plays; ++i)
        {
            // Successes between the failures keep the targets in use.
            constexpr int served_between = 8;
            for (int j = 0; j < served_between; ++j)
            {
                fleet.world.call(0, order(head.name.substr(0, 3) + "-" +
                                          std::to_string(i) + "-" +
                                          std::to_string(j)));
            }
            caller_request request;
            net::fetch_result got;
            int ran = 0;
            // An order that meets no target because all have failed too often
            // is replaced by another one later.
            constexpr int max_tries = 5;
            for (int tries = 0; ran == 0 && tries < max_tries; ++tries)
            {
                fleet.world.run_for(tries == 0 ? 0ms : ejection_time);
                request =
                    order("head-" + std::to_string(&head - heads.data()) + "-" +
                          std::to_string(i) + "-" + std::to_string(tries));
                {
                    const std::lock_guard lock(mutex);
                    by_order[request.id] = &head;
                }
                got = fleet.world.call(0, request);
                ran = fleet.runs(request.id);
            }
            EXPECT(ran > 0);
            ++counts.answered;
            counts.ran_twice += ran > 1 ? 1 : 0;
            counts.ran_though_refused += is_refused(got) && ran > 0 ? 1 : 0;
            const bool answered = got.outcome == net::call_outcome::complete;
            counts.not_whole += !answered || is_not_whole(got, request) ? 1 : 0;
        }
        counts.print(head.name);
        broken += counts.total() > 0 ? head.name + "; " : "";
    }
    section("broken: " + broken, [&] { EXPECT(broken.empty()); });
}

} // namespace

// Guards against heads that h2o reads in another way than the check of this
// project, and that thereby pass for proof (TWICE, REFUSED).
Test(gateway_copies_search, odd_heads_prove_nothing)
{
    expect_no_proof(unproven_heads);
}

// Guards against the joined heads of two answers on a connection on which the
// gateway has seen no refusal (TWICE, REFUSED).
Test(gateway_copies_search, joined_heads_prove_nothing)
{
    expect_no_proof(joined_heads);
}

// Guards against a folded line that h2o reports as a field without a name, and
// that the gateway passes on as a head that callers can't read (MIXED).
Test(gateway_copies_search, folded_lines_reach_no_caller)
{
    expect_no_proof(served_heads);
}
