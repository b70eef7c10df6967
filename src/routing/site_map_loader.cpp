#include <siskinflow/routing/site_map_loader.hpp>

#include <chrono>
#include <csignal>
#include <future>
#include <optional>
#include <thread>

namespace siskinflow::routing
{

namespace
{

/// @brief Runs one job at a time on a thread of its own.
class worker_thread
{
public:
    void run(std::function<void()> job)
    {
        // A new thread inherits the mask. With all signals blocked in it, they
        // are delivered to the event loop's thread.
        sigset_t all_signals;
        sigset_t previous_mask;
        sigfillset(&all_signals);
        pthread_sigmask(SIG_SETMASK, &all_signals, &previous_mask);
        thread_ = std::jthread(std::move(job));
        pthread_sigmask(SIG_SETMASK, &previous_mask, nullptr);
    }

private:
    std::jthread thread_;
};

/// @brief Output of a job.
struct job_result
{
    std::unique_ptr<site_map_replica> replica;
    std::vector<std::string> missing; ///< Of the first job.
    result<void> loaded = ok();       ///< Of the second job.
    std::vector<site> sites;          ///< Of the second job.
};

} // namespace

struct site_map_loader::impl : std::enable_shared_from_this<impl>
{
    impl(store& from, const clock& time_source, std::mt19937_64 initial_random,
         site_map_loader_handlers initial_handlers,
         site_map_loader_options initial_options, job_runner initial_run)
        : source(from), time(time_source), random(initial_random),
          handlers(std::move(initial_handlers)), options(initial_options),
          run_job(std::move(initial_run)), next_poll(time.now())
    {
        if (!run_job)
        {
            run_job = [this](std::function<void()> job)
            { worker.run(std::move(job)); };
        }
    }

    void tick()
    {
        if (job.valid() &&
            job.wait_for(std::chrono::seconds(0)) == std::future_status::ready)
        {
            auto callback = std::move(on_job_done);
            callback(job.get());
        }
        if (!busy && time.now() >= next_poll)
        {
            poll();
        }
    }

    void poll()
    {
        busy = true;
        std::uniform_real_distribution<double> interval_factor(
            1 - options.jitter, 1 + options.jitter);
        next_poll =
            time.now() + std::chrono::duration_cast<duration>(
                             options.poll_interval * interval_factor(random));
        source.read(store_keys::site_map, options.call_timeout,
                    [weak = weak_from_this()](
                        const result<std::optional<store_value>>& answer)
                    {
                        if (const auto self = weak.lock())
                        {
                            self->on_document(answer);
                        }
                    });
    }

    void on_document(const result<std::optional<store_value>>& answer)
    {
        if (!answer)
        {
            report_failure(0, answer.error());
            return;
        }
        // An absent key counts as revision 0: a store that lost the key must
        // not remove the map in use.
        const auto revision =
            answer.value() ? answer.value()->mod_revision : store_revision(0);
        if (revision <= view->revision)
        {
            busy = false;
            if (revision < view->revision && handlers.on_stale)
            {
                handlers.on_stale(revision, view->revision);
            }
            return;
        }
        auto parsed = parse_site_map_document(answer.value()->value);
        if (!parsed)
        {
            report_failure(revision, parsed.error());
            return;
        }
        document = std::move(parsed).value();
        offered_revision = revision;
        find_missing();
    }

    /// @brief Starts a job; `next` gets its result at a later tick.
    void start_job(std::function<void(job_result&)> work,
                   std::function<void(job_result)> next)
    {
        auto state = std::make_shared<job_result>();
        state->replica = std::move(replica);
        auto promise = std::make_shared<std::promise<job_result>>();
        job = promise->get_future();
        on_job_done = std::move(next);
        run_job(
            [state, promise, work = std::move(work)]
            {
                work(*state);
                promise->set_value(std::move(*state));
            });
    }

    void find_missing()
    {
        start_job([manifest = document.manifest](job_result& state)
                  { state.missing = state.replica->missing_chunks(manifest); },
                  [this](job_result job_output)
                  {
                      replica = std::move(job_output.replica);
                      fetch(std::move(job_output.missing));
                  });
    }

    void fetch(std::vector<std::string> hashes)
    {
        // 48 sites take some 2 KB, as much as a one-block change may take.
        if (document.sites_hash != sites_hash)
        {
            hashes.push_back(document.sites_hash);
        }
        fetch_chunks(source, std::move(hashes), options.call_timeout,
                     [weak = weak_from_this()](result<chunk_map> chunks)
                     {
                         if (const auto self = weak.lock())
                         {
                             self->on_chunks(std::move(chunks));
                         }
                     });
    }

    void on_chunks(result<chunk_map> chunks)
    {
        if (!chunks)
        {
            report_failure(offered_revision, chunks.error());
            return;
        }
        start_job([next = document, fetched = std::move(chunks).value(),
                   current = view](job_result& state)
                  { load(state, next, fetched, current->sites); },
                  [this](job_result job_output)
                  { on_loaded(std::move(job_output)); });
    }

    static void load(job_result& state, const site_map_document& next,
                     const chunk_map& chunks,
                     const std::vector<site>& current_sites)
    {
        state.sites = current_sites;
        if (const auto list = chunks.find(next.sites_hash);
            list != chunks.end())
        {
            auto sites = parse_sites(list->second, next.sites_hash);
            if (!sites)
            {
                state.loaded = sites.as_failure();
                return;
            }
            state.sites = std::move(sites).value();
        }
        state.loaded = state.replica->load(
            next.manifest,
            [&chunks](const std::string& hash) -> std::optional<std::string>
            {
                const auto it = chunks.find(hash);
                return it == chunks.end() ? std::nullopt
                                          : std::optional(it->second);
            });
    }

    void on_loaded(job_result job_output)
    {
        replica = std::move(job_output.replica);
        if (!job_output.loaded)
        {
            report_failure(offered_revision, job_output.loaded.error());
            return;
        }
        auto next = std::make_shared<site_map_view>();
        next->revision = offered_revision;
        next->hash = document.hash();
        next->sites = std::move(job_output.sites);
        next->map = replica->map();
        view = std::move(next);
        sites_hash = document.sites_hash;
        busy = false;
        if (handlers.on_loaded)
        {
            handlers.on_loaded(*view);
        }
    }

    void report_failure(store_revision revision, const error& cause)
    {
        busy = false;
        if (handlers.on_failure)
        {
            handlers.on_failure(revision, cause);
        }
    }

    store& source;
    const clock& time;
    std::mt19937_64 random;
    site_map_loader_handlers handlers;
    site_map_loader_options options;
    job_runner run_job;
    time_point next_poll;
    bool busy = false; ///< A poll or load is in progress.
    site_map_document document;
    store_revision offered_revision = 0;
    std::string sites_hash; ///< Of the sites in use.
    std::unique_ptr<site_map_replica> replica =
        std::make_unique<site_map_replica>();
    std::shared_ptr<const site_map_view> view =
        std::make_shared<site_map_view>();
    std::future<job_result> job;
    std::function<void(job_result)> on_job_done;
    worker_thread worker;
};

site_map_loader::site_map_loader(store& from, const clock& time,
                                 std::mt19937_64 random,
                                 site_map_loader_handlers handlers,
                                 site_map_loader_options options,
                                 job_runner run_job)
    : impl_(std::make_shared<impl>(from, time, random, std::move(handlers),
                                   options, std::move(run_job)))
{
}

site_map_loader::~site_map_loader() = default;

void site_map_loader::tick()
{
    impl_->tick();
}

std::shared_ptr<const site_map_view> site_map_loader::view() const
{
    return impl_->view;
}

} // namespace siskinflow::routing
