#include "chatcall.h"

#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/routing/versionassignment.h"
#include "fireflyhaven/http/types/status.h"

#include <algorithm>

namespace fireflyhaven::node {

namespace {
// Used to estimate the input tokens of a prompt.
constexpr std::size_t CHARACTERS_PER_TOKEN = 4;
// Prices are per 1000 tokens.
constexpr std::int64_t TOKENS_PER_PRICE_UNIT = 1000;
constexpr std::size_t MAX_PREFIX_BYTES = 256;
constexpr Duration RETRY_AFTER { 500 };
constexpr routing::RaterModel RATER_MODEL { .time = Duration(50) };

ApiError notRunError(int status, const std::string& code, const std::string& message)
{
    return { .status = status, .code = code, .message = message, .run = RunState::NotRun };
}

}

ChatCall::ChatCall(ChatService& service, CallContext context, ChatRequest request)
    : m_service(service)
    , m_components(service.m_admissionController.components())
    , m_context(std::move(context))
    , m_request(std::move(request))
    , m_bill { .workspace = m_context.workspace, .request = m_context.request, .attempts = {} }
{
}

ChatCall::~ChatCall() { m_service.m_admissionController.onRequestFinished(m_context); }

std::optional<ApiError> ChatCall::selectVersions(const std::string& sessionHandle)
{
    return sessionHandle.empty() ? selectNewVersions() : selectPinnedVersion(sessionHandle);
}

std::optional<ApiError> ChatCall::selectPinnedVersion(const std::string& sessionHandle)
{
    std::optional<ApiError> error;
    handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(
                pin, m_service.m_signer.verify(sessionHandle, m_context.workspace, m_components.clock.wallNow()));
            m_session = pin.session;
            m_steps = { pin.version };
            return true;
        },
        [&](const Failure& it) {
            const int status = it.code == ErrorCode::Forbidden ? STATUS_FORBIDDEN : STATUS_UNAUTHORIZED;
            error = notRunError(status, std::string("session_") + errorCodeName(it.code), it.message);
            return false;
        });
    return error ? error : refusalOf(m_steps.front(), true);
}

std::optional<ApiError> ChatCall::refusalOf(const ModelVersion& version, bool pinned) const
{
    const config::Lists& lists = *m_context.view->lists;
    const auto* allowance
        = config::findItem(lists.allowances, config::AllowanceKey { m_context.planName, m_request.task });
    const auto usesVersion = [&](const config::VersionShare& it) { return it.version == version; };
    const bool versionAllowed = allowance
        && std::any_of(allowance->value.versionShares.begin(), allowance->value.versionShares.end(), usesVersion);
    if (!versionAllowed)
        return notRunError(
            STATUS_FORBIDDEN, "not_allowed", "the plan does not allow " + version.text() + " for this task");
    const auto& item = lists.versions.at(version);
    if (item.value.state == config::VersionState::Withdrawn)
        return notRunError(STATUS_CONFLICT, "version_withdrawn", version.text() + " was withdrawn; open a new session");
    if (m_components.quality.isSuspended(version, item.revision))
        return notRunError(STATUS_CONFLICT, "version_suspended", version.text() + " is suspended; open a new session");
    if (!pinned && item.value.state == config::VersionState::Retiring)
        return notRunError(STATUS_CONFLICT, "version_retiring", version.text() + " takes no new sessions");
    return std::nullopt;
}

bool ChatCall::matchesModel(const ModelVersion& version) const
{
    return m_request.model == "auto" || m_request.model == version.model || m_request.model == version.text();
}

std::optional<ApiError> ChatCall::selectNewVersions()
{
    const config::Lists& lists = *m_context.view->lists;
    const auto* allowance
        = config::findItem(lists.allowances, config::AllowanceKey { m_context.planName, m_request.task });
    if (!allowance)
        return notRunError(STATUS_FORBIDDEN, "not_allowed", "the plan allows nothing for this task");
    m_session = SessionId(randomToken());
    // The shares of the plan select one version of each model. Cost and quality then select among the models.
    std::map<std::string, std::vector<config::VersionShare>> sharesByModel;
    std::optional<ApiError> refusal
        = notRunError(STATUS_FORBIDDEN, "not_allowed", "the plan does not allow this model");
    for (const config::VersionShare& share : allowance->value.versionShares) {
        if (!matchesModel(share.version))
            continue;
        const std::optional<ApiError> error = refusalOf(share.version, false);
        if (error)
            refusal = error;
        else
            sharesByModel[share.version.model].push_back(share);
    }
    std::vector<config::VersionShare> assignedShares;
    for (const auto& [model, shares] : sharesByModel) {
        if (const config::VersionShare* share = routing::assignVersion(shares, m_session))
            assignedShares.push_back(*share);
    }
    if (assignedShares.empty())
        return refusal;
    const std::vector<routing::Candidate> cascadeCandidates = candidates(assignedShares);
    const routing::Requirements requirements { .qualityTarget = m_context.plan.qualityTarget,
        .firstToken = m_request.stream ? m_context.plan.firstTokenDeadline : m_context.plan.deadline,
        .total = m_context.answerBy - m_context.arrivedAt,
        .onConflict = m_context.plan.onConflict };
    routing::RaterModel rater = RATER_MODEL;
    rater.available = m_components.quality.ratingsAvailable() && !m_components.settings.naivePolicy;
    const routing::Choice choice = routing::chooseCascade(cascadeCandidates, requirements, rater);
    if (choice.kind != routing::ChoiceKind::MeetsTarget)
        m_components.metrics.count("choices_below_target");
    for (const std::size_t n : choice.cascade.steps)
        m_steps.push_back(cascadeCandidates[n].version);
    return std::nullopt;
}

std::vector<routing::Candidate> ChatCall::candidates(const std::vector<config::VersionShare>& shares) const
{
    const auto inputTokens = static_cast<std::int64_t>(m_request.prompt.size() / CHARACTERS_PER_TOKEN);
    std::vector<routing::Candidate> cascadeCandidates;
    for (const config::VersionShare& share : shares) {
        const config::Version& version = m_context.view->lists->versions.at(share.version).value;
        const ChatService::Timing timing = m_service.timingOf(share.version);
        const std::int64_t cost
            = (inputTokens * version.inputPrice.micros + m_request.maxTokens * version.outputPrice.micros)
            / TOKENS_PER_PRICE_UNIT;
        const quality::RatingKey key { .task = m_request.task, .version = share.version };
        cascadeCandidates.push_back({ .version = share.version,
            .quality = m_components.quality.estimate(key, version.assumedQuality).lowerBound,
            .expectedCost = { .micros = cost },
            .firstToken = timing.firstToken,
            .total = timing.total });
    }
    return cascadeCandidates;
}

std::unique_ptr<AnswerRun> ChatCall::startRun(const ModelVersion& version, std::size_t step) const
{
    const auto upstreams = m_context.view->upstreamsByVersion.find(version);
    // The engines treat each step of a cascade as a separate request, so each has its own request id.
    const std::string suffix = step == 0 ? std::string() : "#" + std::to_string(step);
    dispatch::RunRequest request { .workspace = m_context.workspace,
        .request = RequestId(m_context.request.value() + suffix),
        .version = version,
        .task = m_request.task,
        .prompt = m_request.prompt,
        .maxTokens = m_request.maxTokens,
        .priority = m_context.plan.priority,
        .weight = m_context.plan.weight };
    AnswerRunOptions options { .prefixHash = stableHash(m_request.prompt.substr(0, MAX_PREFIX_BYTES)),
        .startBy = m_context.answerBy,
        .answerBy = m_context.answerBy,
        .repeatable = true,
        .pricedVersion = m_context.view->lists->versions.at(version).value };
    if (m_components.settings.naivePolicy)
        options.pick.policy = routing::PickPolicy::LeastLoaded;
    if (upstreams != m_context.view->upstreamsByVersion.end())
        options.upstreams = upstreams->second;
    return std::make_unique<AnswerRun>(
        m_service.m_admissionController.runDependencies(), std::move(request), std::move(options));
}

bool ChatCall::collectAnswer(AnswerRun& run, std::string& text)
{
    for (std::string piece = run.next(); !piece.empty(); piece = run.next())
        text += piece;
    recordUsage(run);
    return run.end() == AnswerRun::End::Done;
}

void ChatCall::recordUsage(const AnswerRun& run)
{
    m_bill.attempts.insert(m_bill.attempts.end(), run.costs().begin(), run.costs().end());
    if (run.end() != AnswerRun::End::Done)
        return;
    m_inputTokens = run.finalEvent().inputTokens;
    m_outputTokens = run.finalEvent().outputTokens;
}

std::optional<ApiError> ChatCall::begin()
{
    for (std::size_t step = 0; step + 1 < m_steps.size(); ++step) {
        const quality::RatingKey key { .task = m_request.task, .version = m_steps[step] };
        std::string text;
        m_run = startRun(m_steps[step], step);
        if (!collectAnswer(*m_run, text))
            continue;
        const std::optional<bool> good = m_components.quality.rateNow(key, m_request.prompt, text);
        if (good && !*good) {
            m_components.metrics.count("cascade_escalations");
            continue;
        }
        // The quality of an answer without a rating is unknown, so the cascade goes on to the next step.
        if (!good)
            continue;
        m_version = m_steps[step];
        m_pendingText = std::move(text);
        m_rated = true;
        m_run.reset();
        return std::nullopt;
    }
    m_version = m_steps.back();
    m_run = startRun(m_version, m_steps.size() - 1);
    m_pendingText = m_run->next();
    if (!m_pendingText.empty() || m_run->end() == AnswerRun::End::Done)
        return std::nullopt;
    return finish();
}

std::string ChatCall::next()
{
    std::string text = std::move(m_pendingText);
    m_pendingText.clear();
    if (text.empty() && m_run)
        text = m_run->next();
    m_answer += text;
    return text;
}

std::optional<ApiError> ChatCall::finish()
{
    std::optional<ApiError> error;
    if (m_run) {
        recordUsage(*m_run);
        const Duration total = m_components.clock.now() - m_context.arrivedAt;
        if (m_run->end() == AnswerRun::End::Done)
            m_service.recordTiming(m_version, m_run->firstToken().value_or(total), total);
        else
            error = errorOf(*m_run);
        if (m_run->firstToken())
            m_components.metrics.observe("first_token", *m_run->firstToken());
        m_run.reset();
    }
    if (!m_bill.attempts.empty())
        m_components.billing.makeDurable(std::exchange(m_bill, {}));
    if (error) {
        m_components.metrics.count("requests_failed_" + error->code);
        return error;
    }
    m_components.metrics.count("requests_answered");
    if (!m_rated)
        m_components.quality.rateAsync({ .task = m_request.task, .version = m_version }, m_request.prompt, m_answer);
    return std::nullopt;
}

ApiError ChatCall::errorOf(const AnswerRun& run) const
{
    const bool certainlyNotRun = run.end() == AnswerRun::End::NotRun && m_bill.attempts.empty();
    const bool timedOut = run.finalEvent().code == "deadline" || run.finalEvent().code == "upstream_timeout";
    int status = certainlyNotRun ? STATUS_UNAVAILABLE : STATUS_BAD_GATEWAY;
    if (timedOut)
        status = STATUS_GATEWAY_TIMEOUT;
    return { .status = status,
        .code = run.finalEvent().code,
        .message = run.finalEvent().message,
        .run = certainlyNotRun ? RunState::NotRun : RunState::Unknown,
        .retryAfter = RETRY_AFTER };
}

void ChatCall::cancel()
{
    if (m_run)
        m_run->cancel();
}

std::string ChatCall::sessionHandle() const
{
    return m_service.m_signer.sign({ .workspace = m_context.workspace,
        .session = m_session,
        .version = m_version,
        .expires = m_components.clock.wallNow() + m_components.settings.sessionLifetime });
}

}
