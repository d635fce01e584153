#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/common/types/ids.h"

#include <optional>

namespace fireflyhaven::routing {

// What a session handle says: the session stays on this version until it expires.
struct SessionPin {
    WorkspaceId workspace;
    SessionId session;
    ModelVersion version;
    WallTime expires {};
};

// Signs and verifies session handles, so that any host honours a handle and no host keeps it. The text form is
// base64url of the pin's fields and a keyed MAC.
class SessionSigner {
public:
    // `previous` still verifies handles that were signed before a rotation of keys.
    SessionSigner(SecretKey current, std::optional<SecretKey> previous);

    std::string sign(const SessionPin& pin) const;
    // Fails with Unauthenticated (forged or unreadable), Forbidden (another workspace's) or Expired.
    Result<SessionPin> verify(const std::string& handle, const WorkspaceId& workspace, WallTime now) const;

private:
    bool macMatches(std::string_view body, std::string_view mac) const;

    SecretKey m_current;
    std::optional<SecretKey> m_previous;
};

}
