#pragma once

#include "callcontext.h"
#include "fireflyhaven/routing/chooser.h"

namespace fireflyhaven::node {

// Parsed body of a chat request.
struct ChatRequest {
    TaskName task;
    // "auto", the name of a model, or "model@version".
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool stream = false;
};

// Serves POST /v1/chat/completions: selects models and versions, runs the cascade, bills the request and responds.
class ChatService {
public:
    ChatService(AdmissionController& admissionController, const routing::SessionSigner& signer);

    http::Response handle(const http::Request& request);

private:
    friend class ChatCall;

    // Moving averages of the latency of a version, as measured by this host. The initial values apply until the first
    // answer.
    struct Timing {
        Duration firstToken { 300 };
        Duration total { 1500 };
    };

    Timing timingOf(const ModelVersion& version) const;
    void recordTiming(const ModelVersion& version, Duration firstToken, Duration total);

    AdmissionController& m_admissionController;
    const routing::SessionSigner m_signer;
    mutable absl::Mutex m_mutex;
    std::map<ModelVersion, Timing> m_timings ABSL_GUARDED_BY(m_mutex);
};

}
