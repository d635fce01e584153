#include "fireflyhaven/routing/sessionpin.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <sstream>

namespace fireflyhaven::routing {

namespace {

std::string encodePin(const SessionPin& pin)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(pin.workspace, pin.session, pin.version, pin.expires.time_since_epoch().count());
    }
    return out.str();
}

SessionPin decodePin(const std::string& body)
{
    SessionPin pin;
    Duration::rep expires = 0;
    std::istringstream in(body);
    cereal::PortableBinaryInputArchive archive(in);
    archive(pin.workspace, pin.session, pin.version, expires);
    pin.expires = WallTime(Duration(expires));
    return pin;
}

}

SessionSigner::SessionSigner(SecretKey current, std::optional<SecretKey> previous)
    : m_current(current)
    , m_previous(previous)
{
}

std::string SessionSigner::sign(const SessionPin& pin) const
{
    const std::string body = encodePin(pin);
    return toBase64Url(body + computeMac(m_current, body));
}

Result<SessionPin> SessionSigner::verify(const std::string& handle, const WorkspaceId& workspace, WallTime now) const
{
    constexpr std::size_t MAX_HANDLE_BYTES = 1024;
    if (handle.size() > MAX_HANDLE_BYTES)
        return failure(ErrorCode::Unauthenticated, "the session handle is too long");
    const Result<std::string> decoded = fromBase64Url(handle);
    if (!decoded || decoded.value().size() <= MAC_BYTES)
        return failure(ErrorCode::Unauthenticated, "the session handle can't be read");
    const std::string& bytes = decoded.value();
    const std::string body = bytes.substr(0, bytes.size() - MAC_BYTES);
    if (!macMatches(body, std::string_view(bytes).substr(body.size())))
        return failure(ErrorCode::Unauthenticated, "the session handle was not issued here");
    SessionPin pin = decodePin(body);
    if (pin.workspace != workspace)
        return failure(ErrorCode::Forbidden, "the session belongs to another workspace");
    if (pin.expires <= now)
        return failure(ErrorCode::Expired, "the session has expired");
    return pin;
}

bool SessionSigner::macMatches(std::string_view body, std::string_view mac) const
{
    if (verifyMac(m_current, body, mac))
        return true;
    return m_previous && verifyMac(*m_previous, body, mac);
}

}
