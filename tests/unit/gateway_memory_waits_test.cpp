#include "gateway/memory/response_buffer.hpp"
#include "test_sections.hpp"

#include <array>
#include <chrono>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr std::size_t unit = 1024UL * 1024;
constexpr std::size_t budget_units = 8;
constexpr std::size_t answer_units = 4;
/// A stalled holder is evicted after a second, one each 250 ms.
constexpr duration eviction_limit = 4s;

/// Where a client stops for good.
enum class stall : std::uint8_t
{
    never,
    sending,
    reading,
};

/// A request that is received in parts of one unit, sent, answered in such
/// parts, and read. It holds what the server and the gateway would hold.
class modelled_request final
    : public net::hold_owner,
      public std::enable_shared_from_this<modelled_request>
{
public:
    enum class stage : std::uint8_t
    {
        receiving,
        sent,
        answering,
        reading,
        ended,
    };

    modelled_request(net::memory_budget& budget, net::event_loop& loop,
                     std::size_t body_units, bool releases_body, stall stops)
        : budget_(budget), loop_(loop), body_units_(body_units),
          releases_body_(releases_body), stops_(stops), progress_at_(loop.now())
    {
    }

    void begin(const std::string& address)
    {
        body_ = budget_.make_hold(net::hold_kind::request_body,
                                  shared_from_this(), address);
        output_ = budget_.make_hold(net::hold_kind::unsent_answer,
                                    shared_from_this(), address);
        const auto act = [weak = weak_from_this()](auto&& action)
        {
            if (const auto self = weak.lock())
            {
                action(*self);
            }
        };
        answer_ = response_buffer::make(
            budget_, loop_, address,
            {[act]
             {
                 bool released = false;
                 act(
                     [&](modelled_request& self)
                     {
                         released = self.releases_body_;
                         self.release_body();
                     });
                 return released;
             },
             nullptr, nullptr,
             [act] { act([](modelled_request& self) { self.end(); }); }});
    }

    /// Takes one step, if the client does not stop and there is room.
    void step()
    {
        switch (stage_)
        {
        case stage::receiving:
            receive();
            break;
        case stage::sent:
            stage_ = stage::answering;
            break;
        case stage::answering:
            receive_answer();
            break;
        case stage::reading:
            if (stops_ != stall::reading)
            {
                end();
            }
            break;
        case stage::ended:
            break;
        }
    }

    stage at() const
    {
        return stage_;
    }
    bool stops() const
    {
        return stops_ != stall::never;
    }

    /// Name of the state for counting.
    std::string state() const
    {
        return std::to_string(static_cast<int>(stage_)) + "," +
               std::to_string(body_.bytes() / unit) + "," +
               std::to_string(answer_ == nullptr ? 0 : answer_->size() / unit);
    }

    duration stalled_for(time_point now) const override
    {
        const bool on_client =
            stage_ == stage::receiving || stage_ == stage::reading;
        return on_client ? now - progress_at_ : duration::zero();
    }

    void evict() override
    {
        end();
    }

private:
    void receive()
    {
        const std::size_t units = body_.bytes() / unit;
        if (stops_ == stall::sending && units + 1 >= body_units_)
        {
            return;
        }
        if (units == body_units_)
        {
            stage_ = stage::sent;
            return;
        }
        const auto guard = shared_from_this();
        if (body_.grow_to((units + 1) * unit))
        {
            progress_at_ = loop_.now();
        }
        else
        {
            budget_.on_room([] {});
        }
    }

    void receive_answer()
    {
        if (answer_->waits())
        {
            return;
        }
        if (answer_->size() < answer_units * unit)
        {
            const auto guard = shared_from_this();
            answer_->append(std::string(unit, 'x'));
            return;
        }
        const std::size_t bytes = answer_->size();
        const auto blocks = answer_->take();
        release_body();
        stage_ = stage::reading;
        progress_at_ = loop_.now();
        output_.take(bytes);
    }

    void release_body()
    {
        if (releases_body_ || stage_ == stage::ended)
        {
            body_ = {};
        }
    }

    void end()
    {
        stage_ = stage::ended;
        body_ = {};
        output_ = {};
        answer_.reset();
    }

    net::memory_budget& budget_;
    net::event_loop& loop_;
    std::size_t body_units_;
    bool releases_body_;
    stall stops_;
    time_point progress_at_;
    stage stage_ = stage::receiving;
    net::memory_budget::hold body_;
    net::memory_budget::hold output_;
    std::shared_ptr<response_buffer> answer_;
};

/// Three requests of one client each at a budget that does not hold them all.
class exploration
{
public:
    static constexpr std::size_t requests = 3;

    explicit exploration(bool releases_bodies)
        : releases_bodies_(releases_bodies)
    {
    }

    /// Plays all orders of a number of steps, whatever the clients do.
    void explore(int depth)
    {
        constexpr std::array stops{stall::never, stall::sending,
                                   stall::reading};
        for (const stall second : stops)
        {
            for (const stall third : stops)
            {
                stops_ = {stall::never, second, third};
                std::vector<std::size_t> steps;
                explore(steps, depth);
            }
        }
    }

    std::size_t states() const
    {
        return states_.size();
    }
    std::size_t sequences() const
    {
        return sequences_;
    }
    std::size_t stuck() const
    {
        return stuck_;
    }

private:
    void explore(std::vector<std::size_t>& steps, int depth)
    {
        if (depth == 0)
        {
            play(steps);
            return;
        }
        for (std::size_t i = 0; i < requests; ++i)
        {
            steps.push_back(i);
            explore(steps, depth - 1);
            steps.pop_back();
        }
    }

    void play(const std::vector<std::size_t>& steps)
    {
        ++sequences_;
        clock_.advance(10s);
        loop().run_once(duration::zero());
        net::memory_limits limits;
        limits.bytes = budget_units * unit;
        net::memory_budget budget(limits, loop());
        constexpr std::array<std::size_t, requests> body_units{6, 3, 5};
        std::vector<std::shared_ptr<modelled_request>> all;
        for (std::size_t i = 0; i < requests; ++i)
        {
            all.push_back(std::make_shared<modelled_request>(
                budget, loop(), body_units[i], releases_bodies_, stops_[i]));
            all.back()->begin("127.0.0." + std::to_string(i + 1));
        }
        for (const std::size_t i : steps)
        {
            // Each step that is drawn takes the request through one stage.
            const auto before = all[i]->at();
            for (std::size_t n = 0; n < budget_units && all[i]->at() == before;
                 ++n)
            {
                all[i]->step();
                note(all);
            }
        }
        stuck_ += all_end(all) ? 0 : 1;
        all.clear();
    }

    /// Whether the requests of the clients that go on end.
    bool all_end(const std::vector<std::shared_ptr<modelled_request>>& all)
    {
        constexpr duration tick = 50ms;
        for (duration passed{0}; passed < eviction_limit; passed += tick)
        {
            clock_.advance(tick);
            loop().run_once(duration::zero());
            bool ended = true;
            for (const auto& entry : all)
            {
                entry->step();
                note(all);
                ended =
                    ended && (entry->stops() ||
                              entry->at() == modelled_request::stage::ended);
            }
            if (ended)
            {
                return true;
            }
        }
        return false;
    }

    void note(const std::vector<std::shared_ptr<modelled_request>>& all)
    {
        std::string state;
        for (const auto& entry : all)
        {
            state += entry->state() + ";";
        }
        states_.insert(std::move(state));
    }

    net::event_loop& loop()
    {
        return *loop_;
    }

    bool releases_bodies_;
    manual_clock clock_;
    /// h2o's loop can't be destroyed.
    net::event_loop* loop_ = new net::event_loop(clock_); // NOLINT
    std::array<stall, requests> stops_{};
    std::set<std::string> states_;
    std::size_t sequences_ = 0;
    std::size_t stuck_ = 0;
};

} // namespace

// Guards against requests that wait for memory that only their own end would
// release: each of those whose client goes on ends, or makes room, in time.
Test(gateway_memory_waits, end_from_every_reachable_state)
{
    constexpr int depth = 5;
    const auto began = std::chrono::steady_clock::now();
    exploration released(true);
    released.explore(depth);
    const std::chrono::duration<double> time =
        std::chrono::steady_clock::now() - began;
    std::printf("memory: depth %d, %zu sequences, %zu states, %zu stuck, "
                "%.1f s\n",
                depth, released.sequences(), released.states(),
                released.stuck(), time.count());
    section("with bodies that are released",
            [&] { EXPECT(released.sequences() > 0 && released.stuck() == 0); });
    section("the exploration sees bodies that are kept",
            []
            {
                constexpr int small_depth = 4;
                exploration kept(false);
                kept.explore(small_depth);
                EXPECT(kept.stuck() > 0);
            });
}
