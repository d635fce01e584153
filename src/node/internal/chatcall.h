#pragma once

#include "chatservice.h"

namespace fireflyhaven::node {

// One chat request, from the selection of model versions to billing. Not thread-safe: used only by the thread of the
// caller's connection.
class ChatCall {
public:
    ChatCall(ChatService& service, CallContext context, ChatRequest request);
    ~ChatCall();
    ChatCall(const ChatCall&) = delete;
    ChatCall& operator=(const ChatCall&) = delete;

    // Selects the versions of the cascade. With a session handle, verifies it and selects the version that the session
    // is pinned to.
    std::optional<ApiError> selectVersions(const std::string& sessionHandle);
    // Runs the steps of the cascade until an answer is rated good. The last step is not rated here: it runs only up to
    // its first piece of text. On an error the call has ended.
    std::optional<ApiError> begin();
    // Waits for the next piece of the answer. An empty text means the end; `finish` then returns the outcome.
    std::string next();
    // Makes the bill durable. Returns an error if the answer is incomplete.
    std::optional<ApiError> finish();
    void cancel();

    const ModelVersion& version() const { return m_version; }
    std::string sessionHandle() const;
    const CallContext& context() const { return m_context; }
    std::uint64_t outputTokens() const { return m_outputTokens; }
    std::uint64_t inputTokens() const { return m_inputTokens; }

private:
    std::optional<ApiError> selectPinnedVersion(const std::string& sessionHandle);
    std::optional<ApiError> selectNewVersions();
    // Returns why the version may not be used for this request, or none if it may. Sessions that are already pinned to
    // the version may go on using it while it is retiring.
    std::optional<ApiError> refusalOf(const ModelVersion& version, bool pinned) const;
    std::vector<routing::Candidate> candidates(const std::vector<config::VersionShare>& shares) const;
    bool matchesModel(const ModelVersion& version) const;
    std::unique_ptr<AnswerRun> startRun(const ModelVersion& version, std::size_t step) const;
    // Collects the complete answer. Returns false if the run failed.
    bool collectAnswer(AnswerRun& run, std::string& text);
    ApiError errorOf(const AnswerRun& run) const;
    void recordUsage(const AnswerRun& run);

    ChatService& m_service;
    const EntryComponents& m_components;
    const CallContext m_context;
    const ChatRequest m_request;
    SessionId m_session;
    std::vector<ModelVersion> m_steps;
    std::unique_ptr<AnswerRun> m_run;
    ModelVersion m_version;
    // Text already received from the run, returned by the next call of `next`.
    std::string m_pendingText;
    std::string m_answer;
    bool m_rated = false;
    billing::Bill m_bill;
    std::uint64_t m_inputTokens = 0;
    std::uint64_t m_outputTokens = 0;
};

}
