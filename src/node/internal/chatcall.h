#pragma once

#include "chatservice.h"

namespace fireflyhaven::node {

// One chat request from its choice of versions to its bill. Used by the thread of its connection only.
class ChatCall {
public:
    ChatCall(ChatService& service, CallContext context, ChatRequest request);
    ~ChatCall();
    ChatCall(const ChatCall&) = delete;
    ChatCall& operator=(const ChatCall&) = delete;

    // Verifies the session handle, if any, and chooses what to run.
    std::optional<ApiError> choose(const std::string& sessionHandle);
    // Runs the steps that are rated, and the last one up to its first text. An error ends the call.
    std::optional<ApiError> begin();
    // Next text of the answer; an empty text ends it, and `finish` tells how.
    std::string next();
    // Settles the bill. An error where the answer is not whole.
    std::optional<ApiError> finish();
    void cancel();

    const ModelVersion& version() const { return m_version; }
    std::string sessionHandle() const;
    const CallContext& context() const { return m_context; }
    std::uint64_t outputTokens() const { return m_outputTokens; }
    std::uint64_t inputTokens() const { return m_inputTokens; }

private:
    std::optional<ApiError> choosePinned(const std::string& sessionHandle);
    std::optional<ApiError> chooseNew();
    // Why new work may not go to the version; none where it may.
    std::optional<ApiError> refusalOf(const ModelVersion& version, bool pinned) const;
    std::vector<routing::Candidate> candidates(const std::vector<config::VersionShare>& uses) const;
    bool matchesModel(const ModelVersion& version) const;
    std::unique_ptr<AnswerRun> startRun(const ModelVersion& version, std::size_t step) const;
    // Collects a whole answer; false where the run did not end well.
    bool collect(AnswerRun& run, std::string& text);
    ApiError errorOf(const AnswerRun& run) const;
    void account(const AnswerRun& run);

    ChatService& m_service;
    const EntryParts& m_parts;
    const CallContext m_context;
    const ChatRequest m_request;
    SessionId m_session;
    std::vector<ModelVersion> m_steps;
    std::unique_ptr<AnswerRun> m_run;
    ModelVersion m_version;
    // Text that is ready to be passed on before the run's next piece.
    std::string m_ready;
    std::string m_answer;
    bool m_rated = false;
    billing::Bill m_bill;
    std::uint64_t m_inputTokens = 0;
    std::uint64_t m_outputTokens = 0;
};

}
