#include "fireflyhaven/common/result.h"

namespace fireflyhaven {

const char* errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::Unauthenticated:
        return "unauthenticated";
    case ErrorCode::Forbidden:
        return "forbidden";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Expired:
        return "expired";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::Protocol:
        return "protocol";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

const char* runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Unknown:
        return "unknown";
    case RunState::Ran:
        return "ran";
    }
    return "unknown";
}

}
