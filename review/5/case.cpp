// One upstream spoils the status line of a few of its answers. Callers must get
// answers in the protocol, with a status that says how their request ended.
#include "platform.hpp"

#include <cctype>

using namespace review;

namespace
{

/// One answer of the faulty upstream in this many is spoiled.
constexpr int spoiled_each = 50;
constexpr milliseconds test_time{20'000};
constexpr milliseconds contact{4000};
constexpr milliseconds deadline{2000};
constexpr int callers = 4;

/// Status lines in place of `200 OK`.
const std::vector<std::string> spoiled_statuses = {"020 OK",
                                                   "101 Switching Protocols"};

struct deployment
{
    explicit deployment(record& notes_in) : notes(notes_in)
    {
        where.put("op/config", configuration({{"orders", "non_idempotent"}}));
        for (int i = 0; i < 3; ++i)
        {
            const std::string zone = i == 0 ? "zone-a" : "zone-b";
            upstreams.push_back(std::make_unique<upstream>(
                "order-" + std::to_string(i), "orders",
                [this, i](upstream& self, const upstream::call& call)
                { return answer(i, self, call); }));
            upstreams.back()->enter(where, zone);
        }
        for (int i = 0; i < 2; ++i)
        {
            vms.push_back(std::make_unique<gateway>(
                "front-" + std::to_string(i), i == 0 ? "zone-a" : "zone-b",
                door.port()));
            vms.back()->start();
        }
        for (const auto& vm : vms)
        {
            if (!vm->wait_ready(milliseconds(10'000)))
            {
                throw not_runnable{"a gateway does not become ready"};
            }
        }
    }

    bool answer(int index, upstream& self, const upstream::call& call)
    {
        self.note_run(call.request);
        std::this_thread::sleep_for(milliseconds(20));
        const bool spoil =
            trouble() && index == 0 && call.number % spoiled_each == 0;
        if (!spoil)
        {
            return call.peer.send(signed_answer(call.request, "ordered"));
        }
        const auto kind = static_cast<std::size_t>(call.number / spoiled_each);
        const std::string& status =
            spoiled_statuses[kind % spoiled_statuses.size()];
        notes.line(self.id() + " has run " +
                   call.request.field("siskinflow-request-id") +
                   " and answers with the status '" + status + "'");
        call.peer.send(signed_answer(call.request, "ordered", status));
        return false;
    }

    record& notes;
    store where;
    store::door door{where};
    std::vector<std::unique_ptr<upstream>> upstreams;
    std::vector<std::unique_ptr<gateway>> vms;
};

/// Whether an answer begins with a status line of HTTP/1.1 and a final status.
bool is_final_answer(const message& answer)
{
    const std::string& line = answer.start_line;
    const std::string version = "HTTP/1.1 ";
    const std::string status =
        line.substr(std::min(version.size(), line.size()), 4);
    return line.starts_with(version) && status.size() >= 3 &&
           status[0] >= '2' && status[0] <= '5' &&
           std::isdigit(static_cast<unsigned char>(status[1])) != 0 &&
           std::isdigit(static_cast<unsigned char>(status[2])) != 0 &&
           (status.size() == 3 || status[3] == ' ');
}

struct counts
{
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> no_answers{0};
};

void send_orders(deployment& all, int caller, time_point until, counts& out)
{
    const auto vm = static_cast<std::size_t>(caller) % all.vms.size();
    for (int number = 0; now() < until; ++number)
    {
        client_request request;
        request.id =
            "order-" + std::to_string(caller) + "-" + std::to_string(number);
        request.method = "POST";
        request.path = "/orders/1";
        request.body = "one map";
        request.deadline = deadline;
        const auto peer = connection::to(all.vms[vm]->port());
        if (peer == nullptr || !peer->send(to_text(request)))
        {
            throw not_runnable{"a gateway can't be reached"};
        }
        ++out.sent;
        const message answer = peer->receive(deadline);
        if (is_final_answer(answer))
        {
            out.served += answer.status() == 200 ? 1 : 0;
            continue;
        }
        ++out.no_answers;
        all.notes.line(
            request.id + " gets '" + answer.start_line +
            "' with the signature '" +
            answer.field("siskinflow-response-signature") + "', then " +
            (peer->readable(deadline) ? "more bytes or the end" : "nothing"));
    }
}

bool run(record& notes)
{
    deployment& all = *new deployment(notes);
    std::this_thread::sleep_for(contact);
    const time_point until = now() + test_time;
    counts totals;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller)
    {
        threads.emplace_back([&, caller]
                             { send_orders(all, caller, until, totals); });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    notes.line(std::to_string(totals.sent) + " orders were sent, " +
               std::to_string(totals.served) + " served; " +
               std::to_string(totals.no_answers) +
               " callers got bytes that are no answer");
    if (totals.served == 0)
    {
        throw not_runnable{"no order was served"};
    }
    return totals.no_answers == 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
