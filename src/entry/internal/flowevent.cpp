#include "fireflyhaven/entry/types/flowevent.h"

namespace fireflyhaven::entry {

const char* flowStepName(FlowStep step)
{
    switch (step) {
    case FlowStep::Rejected:
        return "rejected";
    case FlowStep::Queued:
        return "queued";
    case FlowStep::Sent:
        return "sent";
    case FlowStep::FirstToken:
        return "first_token";
    case FlowStep::Escalated:
        return "escalated";
    case FlowStep::Retried:
        return "retried";
    case FlowStep::Resumed:
        return "resumed";
    case FlowStep::AttemptFailed:
        return "attempt_failed";
    case FlowStep::Answered:
        return "answered";
    case FlowStep::Refused:
        return "refused";
    case FlowStep::Failed:
        return "failed";
    case FlowStep::Aborted:
        return "aborted";
    case FlowStep::CallerLeft:
        return "caller_left";
    case FlowStep::LimitNamed:
        return "limit_named";
    case FlowStep::LimitEnded:
        return "limit_ended";
    case FlowStep::LimitUnreadable:
        return "limit_unreadable";
    case FlowStep::LoadUnreadable:
        return "load_unreadable";
    }
    return "";
}

}
