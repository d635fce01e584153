#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/common/types/ids.h"

#include <optional>

namespace fireflyhaven::routing {

// Content of a session handle: the session is pinned to this version until it expires.
struct SessionPin {
    WorkspaceId workspace;
    SessionId session;
    ModelVersion version;
    WallTime expires {};
};

// Signs and verifies session handles, so that every host accepts a handle without stored session state. A handle is the
// base64url encoding of the serialised pin followed by a keyed MAC.
class SessionSigner {
public:
    // `previous` verifies handles that were signed before a key rotation.
    SessionSigner(SecretKey current, std::optional<SecretKey> previous);

    std::string sign(const SessionPin& pin) const;
    // Fails with Unauthenticated (forged or malformed handle), Forbidden (handle of another workspace) or Expired.
    Result<SessionPin> verify(const std::string& handle, const WorkspaceId& workspace, WallTime now) const;

private:
    bool macMatches(std::string_view body, std::string_view mac) const;

    SecretKey m_current;
    std::optional<SecretKey> m_previous;
};

}
