#include "fireflyhaven/fleet/types/poisonmessages.h"

#include "datagram.h"

namespace fireflyhaven::fleet {

namespace {
constexpr std::uint16_t NOTICES_LAYOUT = 0xF601;
}

std::string encodePoisonNotices(const PoisonNotices& notices)
{
    return encodeDatagram(NOTICES_LAYOUT, notices, ShortList<PromptPartId>(notices.convictedRequests),
        ShortList<VerdictTrials>(notices.trials));
}

std::optional<PoisonNotices> decodePoisonNotices(const std::string& datagram)
{
    ShortList<PromptPartId> convictedRequests;
    ShortList<VerdictTrials> trials;
    auto notices = decodeDatagram<PoisonNotices>(NOTICES_LAYOUT, datagram, convictedRequests, trials);
    if (!notices)
        return std::nullopt;
    notices->convictedRequests = std::move(convictedRequests);
    notices->trials = std::move(trials);
    return notices;
}

}
