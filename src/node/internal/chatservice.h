#pragma once

#include "callcontext.h"
#include "fireflyhaven/routing/chooser.h"

namespace fireflyhaven::node {

// What a caller asks of the chat API.
struct ChatRequest {
    TaskName task;
    // "auto", a model, or "model@version".
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool stream = false;
};

// Serves POST /v1/chat/completions: chooses models and versions, runs the cascade, bills, answers.
class ChatService {
public:
    ChatService(Gatekeeper& gatekeeper, const routing::SessionSigner& signer);

    http::Response handle(const http::Request& request);

private:
    friend class ChatCall;

    // Usual times of each version, as this host has seen them.
    struct Timing {
        Duration firstToken { 300 };
        Duration total { 1500 };
    };

    Timing timingOf(const ModelVersion& version) const;
    void learnTiming(const ModelVersion& version, Duration firstToken, Duration total);

    Gatekeeper& m_gatekeeper;
    const routing::SessionSigner m_signer;
    mutable absl::Mutex m_mutex;
    std::map<ModelVersion, Timing> m_timings ABSL_GUARDED_BY(m_mutex);
};

}
