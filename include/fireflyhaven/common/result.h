#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace fireflyhaven {

// Reason for a failed operation; `errorCodeName` returns its text form.
enum class ErrorCode {
    InvalidArgument,
    Unauthenticated,
    Forbidden,
    NotFound,
    Conflict,
    Expired,
    Unavailable,
    Timeout,
    OutcomeUnknown,
    TooLarge,
    Protocol,
    Internal,
};

// Whether a failed request was executed.
enum class RunState { NotRun, Unknown, Ran };

struct Failure {
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

template <typename T> using Result = boost::leaf::result<T>;

inline boost::leaf::error_id failure(ErrorCode code, std::string message)
{
    return boost::leaf::new_error(Failure { .code = code, .message = std::move(message) });
}

// Runs `body`, which returns Result<T>, and returns its T, or the T that `onFailure` returns for the failure.
template <typename Body, typename OnFailure> auto handleFailure(Body&& body, OnFailure&& onFailure)
{
    return boost::leaf::try_handle_all(
        std::forward<Body>(body), [&](const Failure& it) { return onFailure(it); },
        [&] { return onFailure(Failure { .code = ErrorCode::Internal, .message = "unclassified failure" }); });
}

const char* errorCodeName(ErrorCode code);
const char* runStateName(RunState state);

}
