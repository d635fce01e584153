#include "answerrun.h"

#include <algorithm>

namespace fireflyhaven::node {

namespace {

using dispatch::RunEvent;
using dispatch::RunEventKind;

// Used to estimate the input tokens of an attempt without a usage report.
constexpr std::size_t CHARACTERS_PER_TOKEN = 4;
// Prices are per 1000 tokens.
constexpr std::int64_t TOKENS_PER_PRICE_UNIT = 1000;

}

AnswerRun::AnswerRun(RunDependencies dependencies, dispatch::RunRequest request, AnswerRunOptions options)
    : m_dependencies(dependencies)
    , m_request(std::move(request))
    , m_options(std::move(options))
    , m_assembler(m_request.request)
    , m_startedAt(dependencies.clock.now())
{
    absl::MutexLock lock(&m_dependencies.retryBudgetMutex);
    m_dependencies.retryBudget.onRequest(m_dependencies.clock.now());
}

bool AnswerRun::startAttempt()
{
    const std::shared_ptr<const config::Lists> lists = m_dependencies.replica.lists();
    std::vector<routing::UpstreamOption> options;
    for (const UpstreamId& id : m_options.upstreams) {
        const auto* item = config::findItem(lists->upstreams, id);
        const bool usable
            = item && item->value.inService && lists->dataCentres.at(item->value.dataCentre).value.inService;
        if (!usable)
            continue;
        options.push_back(m_dependencies.loadTracker.optionFor(id, item->value.dataCentre));
        options.back().avoided = options.back().avoided || m_triedUpstreams.count(id) > 0;
    }
    const std::size_t pickedIndex = routing::pickUpstream(options, m_options.prefixHash, m_options.pick);
    if (pickedIndex == options.size()) {
        m_finalEvent
            = { .kind = RunEventKind::Refused, .code = "no_upstream", .message = "no upstream is in service for it" };
        return false;
    }
    const TimePoint now = m_dependencies.clock.now();
    m_request.upstream = options[pickedIndex].upstream;
    m_request.attempt = m_assembler.beginAttempt().attempt;
    m_request.firstIndex = m_assembler.nextIndex();
    m_request.startWithinMs = std::max<std::int64_t>(1, (m_options.startBy - now).count());
    m_request.answerWithinMs = std::max<std::int64_t>(1, (m_options.answerBy - now).count());
    m_triedUpstreams.insert(m_request.upstream);
    m_piecesInAttempt = 0;
    ++m_attempts;
    m_stream = m_dependencies.router.open(m_request);
    return true;
}

std::string AnswerRun::next()
{
    while (m_end == End::Open) {
        if (!m_stream && !startAttempt()) {
            m_end = m_mayHaveRun ? End::Unknown : End::NotRun;
            break;
        }
        const Duration timeLeft = std::max(Duration(1), m_options.answerBy - m_dependencies.clock.now());
        if (std::optional<std::string> text = handleEvent(m_stream->next(timeLeft)))
            return std::move(*text);
    }
    return {};
}

void AnswerRun::cancel()
{
    m_cancelled = true;
    if (m_stream)
        m_stream->cancel();
}

std::optional<std::string> AnswerRun::handleEvent(RunEvent event)
{
    if (event.kind == RunEventKind::Started)
        return std::nullopt;
    if (event.kind != RunEventKind::Text) {
        finishAttempt(std::move(event));
        return std::nullopt;
    }
    const dispatch::AnswerPiece piece { .attempt = { RequestId(event.pieceRequest), event.pieceAttempt },
        .index = event.index,
        .text = std::move(event.text) };
    std::optional<std::string> text = m_assembler.accept(piece);
    if (!text) {
        m_dependencies.metrics.count("answer_pieces_dropped");
        return std::nullopt;
    }
    ++m_piecesInAttempt;
    if (!m_firstToken) {
        m_firstToken = m_dependencies.clock.now() - m_startedAt;
        m_dependencies.loadTracker.onFirstToken(m_request.upstream, *m_firstToken);
    }
    return text;
}

bool AnswerRun::isCompleteAnswer(const RunEvent& event) const
{
    if (m_request.version.empty())
        return true;
    const dispatch::AttemptId attempt { RequestId(event.pieceRequest), event.pieceAttempt };
    return attempt == dispatch::AttemptId { m_request.request, m_request.attempt }
    && event.text == m_request.version.text() && event.pieces == m_assembler.nextIndex() && !m_assembler.hasGap();
}

void AnswerRun::finishAttempt(RunEvent event)
{
    m_stream.reset();
    if (event.kind == RunEventKind::Done && !isCompleteAnswer(event)) {
        m_dependencies.metrics.count("answers_mismatched");
        event = {
            .kind = RunEventKind::Failed, .code = "answer_mismatch", .message = "the answer was not for this request"
        };
    }
    const bool ran = event.kind != RunEventKind::Refused;
    if (event.kind == RunEventKind::Done)
        addCost(event.inputTokens, event.outputTokens);
    else if (ran && !m_request.version.empty())
        addCost(m_request.prompt.size() / CHARACTERS_PER_TOKEN, m_piecesInAttempt);
    m_mayHaveRun = m_mayHaveRun || ran;
    m_finalEvent = std::move(event);
    if (m_finalEvent.kind == RunEventKind::Done) {
        m_dependencies.loadTracker.onSuccess(m_request.upstream);
        m_end = End::Done;
        return;
    }
    const bool notRun = m_finalEvent.kind == RunEventKind::Refused;
    m_dependencies.loadTracker.onFailure(m_request.upstream);
    if (mayRetry(notRun ? dispatch::AttemptEnd::NotRun : dispatch::AttemptEnd::Unknown)) {
        m_dependencies.metrics.count("retries");
        return;
    }
    // The run counts as "not run" only if no attempt has an unknown outcome.
    m_end = m_mayHaveRun ? End::Unknown : End::NotRun;
}

bool AnswerRun::mayRetry(dispatch::AttemptEnd end)
{
    if (m_cancelled || !dispatch::isRetryAllowed(end, m_options.repeatable)
        || m_dependencies.clock.now() >= m_options.startBy)
        return false;
    const bool untriedLeft = std::any_of(m_options.upstreams.begin(), m_options.upstreams.end(),
        [&](const UpstreamId& it) { return m_triedUpstreams.count(it) == 0; });
    if (!untriedLeft && end == dispatch::AttemptEnd::NotRun)
        return false;
    absl::MutexLock lock(&m_dependencies.retryBudgetMutex);
    return m_dependencies.retryBudget.tryAcquire(m_attempts, m_dependencies.clock.now());
}

void AnswerRun::addCost(std::uint64_t inputTokens, std::uint64_t outputTokens)
{
    const auto costOf = [](std::uint64_t tokens, Cost perThousand) {
        return static_cast<std::int64_t>(tokens) * perThousand.micros / TOKENS_PER_PRICE_UNIT;
    };
    m_costs.push_back({ .upstream = m_request.upstream,
        .version = m_request.version,
        .inputTokens = inputTokens,
        .outputTokens = outputTokens,
        .cost = { .micros = costOf(inputTokens, m_options.pricedVersion.inputPrice)
                + costOf(outputTokens, m_options.pricedVersion.outputPrice) } });
}

}
