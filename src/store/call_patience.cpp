#include <siskinflow/store/call_patience.hpp>

namespace siskinflow
{

namespace
{

constexpr duration first_connect_timeout = std::chrono::milliseconds(500);
constexpr int growth = 2;

} // namespace

duration call_patience::connect_timeout() const
{
    return connect_timed_out_ ? first_connect_timeout * growth
                              : first_connect_timeout;
}

duration call_patience::answer_timeout(duration usual) const
{
    return answer_timed_out_ ? usual * growth : usual;
}

void call_patience::on_connect_timeout()
{
    connect_timed_out_ = true;
}

void call_patience::on_answer_timeout()
{
    answer_timed_out_ = true;
}

void call_patience::on_answered()
{
    connect_timed_out_ = false;
    answer_timed_out_ = false;
}

} // namespace siskinflow
