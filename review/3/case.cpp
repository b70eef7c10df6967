// The store gives one machine no answer for half a second, in which a key is
// withdrawn. Once the machine is in touch again, the key must not be honoured.
#include "platform.hpp"

#include <random>

using namespace review;

namespace
{

constexpr int rounds = 5;
constexpr milliseconds silent_time{500};
/// Into the silent time, when the operator writes.
constexpr milliseconds write_after{100};
/// Bounds of the site file bbt-siskin.
constexpr milliseconds contact{4000};
constexpr milliseconds config_bound{2500};
constexpr milliseconds probe_time{2000};
constexpr milliseconds probe_interval{200};

struct deployment
{
    explicit deployment(record& notes_in) : notes(notes_in)
    {
        write_configuration();
        for (int i = 0; i < 2; ++i)
        {
            const std::string zone = i == 0 ? "zone-a" : "zone-b";
            upstreams.push_back(std::make_unique<upstream>(
                "lookup-" + std::to_string(i), "lookups",
                [](upstream& self, const upstream::call& call)
                {
                    self.note_run(call.request);
                    return call.peer.send(signed_answer(call.request, "found"));
                }));
            upstreams.back()->enter(where, zone);
            doors.push_back(std::make_unique<store::door>(where));
            vms.push_back(std::make_unique<gateway>(
                "front-" + std::to_string(i), zone, doors.back()->port()));
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

    /// Writes the next version with the keys that have not been withdrawn.
    void write_configuration()
    {
        std::vector<std::string> keys{tenant_key};
        for (int i = withdrawn; i < rounds; ++i)
        {
            keys.push_back(key(i));
        }
        ++version;
        where.put("op/config",
                  configuration({{"lookups", "idempotent"}},
                                "r" + std::to_string(version), keys));
    }

    static std::string key(int number)
    {
        return "key-" + std::to_string(number);
    }

    /// Sends a lookup and notes its end.
    /// @return whether it ran
    bool probe(std::size_t vm, const std::string& key)
    {
        client_request request;
        request.id = "probe-" + std::to_string(++probes);
        request.path = "/lookups/1";
        request.key = key;
        const auto peer = connection::to(vms[vm]->port());
        if (peer == nullptr || !peer->send(to_text(request)))
        {
            throw not_runnable{"a gateway can't be reached"};
        }
        const message answer = peer->receive(milliseconds(4000));
        int runs = 0;
        for (const auto& entry : upstreams)
        {
            runs += entry->runs(request.id);
        }
        notes.line(request.id + " with " + key + " through " + vms[vm]->name() +
                   ": " + std::to_string(answer.status()) + ", ran " +
                   std::to_string(runs) + " times");
        return runs > 0;
    }

    record& notes;
    store where;
    int withdrawn = 0;
    int version = 0;
    int probes = 0;
    std::vector<std::unique_ptr<upstream>> upstreams;
    std::vector<std::unique_ptr<store::door>> doors;
    std::vector<std::unique_ptr<gateway>> vms;
};

/// @return probes with the withdrawn key that ran
int run_round(deployment& all, int number)
{
    const std::string key = deployment::key(number);
    for (std::size_t vm = 0; vm < all.vms.size(); ++vm)
    {
        if (!all.probe(vm, key))
        {
            all.notes.line("a key in force was not honoured");
        }
    }
    all.doors[0]->silence(trouble());
    all.notes.line(trouble() ? "the store gives front-0 no answer"
                             : "the store answers all");
    std::this_thread::sleep_for(write_after);
    ++all.withdrawn;
    all.write_configuration();
    const time_point written = now();
    all.notes.line("the store has accepted a version without " + key);
    std::this_thread::sleep_for(silent_time - write_after);
    all.doors[0]->silence(false);
    const time_point ended = now();
    all.notes.line("the store answers all");
    std::this_thread::sleep_until(
        std::max(ended + contact, written + config_bound) + milliseconds(100));
    int ran = 0;
    const time_point until = now() + probe_time;
    while (now() < until)
    {
        for (std::size_t vm = 0; vm < all.vms.size(); ++vm)
        {
            ran += all.probe(vm, key) ? 1 : 0;
        }
        std::this_thread::sleep_for(probe_interval);
    }
    return ran;
}

bool run(record& notes)
{
    deployment& all = *new deployment(notes);
    std::this_thread::sleep_for(contact);
    std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> phase(0, 1500);
    int ran = 0;
    for (int i = 0; i < rounds; ++i)
    {
        // A moment that is not aligned with the gateways' calls.
        std::this_thread::sleep_for(milliseconds(phase(random)));
        const int ran_in_round = run_round(all, i);
        notes.line("round " + std::to_string(i + 1) + ": " +
                   std::to_string(ran_in_round) +
                   " requests with a withdrawn key ran");
        ran += ran_in_round;
    }
    notes.line(std::to_string(ran) +
               " requests with a withdrawn key ran at machines in touch, "
               "later than the bound");
    return ran == 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
