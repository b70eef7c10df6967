#include <siskinflow/gateway/answer_result.hpp>

namespace siskinflow::gateway
{

namespace
{

constexpr int first_error_status = 400;
constexpr int first_server_error_status = 500;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

bool comes_from_another(const answer_fields& fields, std::string_view instance)
{
    return !fields.instance.empty() && fields.instance != instance;
}

} // namespace

bool promises_not_run(int status)
{
    return status == 408 || status == misdirected_status || status == 429 ||
           status == 503;
}

attempt_result classify_answer(const answer_fields& fields, int status,
                               std::string_view instance)
{
    const bool proves = !fields.signed_body && status >= first_error_status;
    if (proves && status == misdirected_status &&
        (fields.not_run || comes_from_another(fields, instance)))
    {
        return attempt_result::misdirected;
    }
    if (proves && fields.not_run)
    {
        return attempt_result::rejected;
    }
    if (is_success(status))
    {
        const bool whole =
            fields.signed_body && !fields.content_encoded && !fields.not_run;
        return whole ? attempt_result::answered : attempt_result::broken;
    }
    return status >= first_server_error_status || promises_not_run(status)
               ? attempt_result::failed
               : attempt_result::answered;
}

bool may_be_delivered(attempt_result result, const answer_fields& fields,
                      int status)
{
    return result == attempt_result::answered ||
           (result == attempt_result::failed && fields.signed_body &&
            !promises_not_run(status));
}

} // namespace siskinflow::gateway
