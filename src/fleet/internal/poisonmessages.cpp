#include "fireflyhaven/fleet/types/poisonmessages.h"

#include "datagram.h"

namespace fireflyhaven::fleet {

namespace {
constexpr std::uint16_t NOTICES_LAYOUT = 0xF601;
}

std::string encodePoisonNotices(const PoisonNotices& notices)
{
    return encodeDatagram(NOTICES_LAYOUT, notices, ShortList<PromptPartId>(notices.convictedRequests));
}

std::optional<PoisonNotices> decodePoisonNotices(const std::string& datagram)
{
    ShortList<PromptPartId> convictedRequests;
    auto notices = decodeDatagram<PoisonNotices>(NOTICES_LAYOUT, datagram, convictedRequests);
    if (notices)
        notices->convictedRequests = std::move(convictedRequests);
    return notices;
}

}
