#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/common/json.h"
#include "fireflyhaven/common/workerpool.h"
#include "fireflyhaven/http/client.h"
#include "fireflyhaven/http/types/status.h"
#include "fireflyhaven/settings/optionparser.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <random>

using namespace fireflyhaven;

namespace {

constexpr std::size_t MAX_OPEN_REQUESTS = 3000;

struct LoadSettings {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 8080;
    std::string workspaceKeyPrefix = "key-of-ws";
    std::string profile = "vitalkor";
    std::string csvFile;
    std::string label = "run";
    long seed = 1;
    long seconds = 20;
    long ratePerSecond = 40;
    long workspaces = 10;
    bool direct = false;
};

enum class RequestKind { Report, Question, Tag, Once };

const char* kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Report:
        return "report";
    case RequestKind::Question:
        return "question";
    case RequestKind::Tag:
        return "tag";
    case RequestKind::Once:
        return "once";
    }
    return "";
}

// Request mix and rate over time.
struct Profile {
    // Relative frequency of each RequestKind, in the order of its enumerators.
    double shares[4];
    // Rate relative to the mean, in each quarter of the run.
    std::vector<double> relativeRates;
    double medianPromptCharacters;
    double medianTokens;
};

Profile profileFor(const std::string& name)
{
    if (name == "urnaviva")
        return { .shares = { 0.1, 0.5, 0.35, 0.05 },
            // Models an evening assembly, whose load peaks in the third quarter of the run.
            .relativeRates = { 0.5, 0.7, 2.0, 0.8 },
            .medianPromptCharacters = 600,
            .medianTokens = 40 };
    return { .shares = { 0.25, 0.3, 0.4, 0.05 },
        .relativeRates = { 0.7, 1.1, 1.3, 0.9 },
        .medianPromptCharacters = 900,
        .medianTokens = 60 };
}

struct PlannedRequest {
    Duration at {};
    RequestKind kind = RequestKind::Tag;
    long workspace = 1;
    std::string prompt;
    int maxTokens = 16;
    // Requests of one conversation share a session; 0 for a request without a session.
    long conversation = 0;
};

// Generates the arrivals of a run (open loop): they depend on the settings and the seed only, not on the answers.
std::vector<PlannedRequest> planArrivals(const LoadSettings& settings)
{
    const Profile profile = profileFor(settings.profile);
    std::mt19937_64 random(static_cast<std::uint64_t>(settings.seed));
    std::exponential_distribution<double> gap(1);
    std::lognormal_distribution<double> length(0, 0.8);
    std::discrete_distribution<int> kind(std::begin(profile.shares), std::end(profile.shares));
    std::geometric_distribution<long> workspace(0.35);
    std::uniform_int_distribution<long> prefix(1, 40);
    std::vector<PlannedRequest> plan;
    double seconds = 0;
    while (true) {
        const auto quarter
            = std::min<std::size_t>(3, static_cast<std::size_t>(seconds * 4 / static_cast<double>(settings.seconds)));
        seconds += gap(random) / (static_cast<double>(settings.ratePerSecond) * profile.relativeRates[quarter]);
        if (seconds >= static_cast<double>(settings.seconds))
            return plan;
        PlannedRequest it { .at = Duration(static_cast<Duration::rep>(seconds * 1000)),
            .kind = static_cast<RequestKind>(kind(random)) };
        it.workspace = 1 + std::min(workspace(random), settings.workspaces - 1);
        const auto characters = static_cast<std::size_t>(profile.medianPromptCharacters * length(random));
        const std::string sharedPrefix = "questionnaire form " + std::to_string(prefix(random)) + " ";
        while (it.prompt.size() < 280)
            it.prompt += sharedPrefix;
        it.prompt += std::to_string(plan.size()) + std::string(std::min<std::size_t>(characters, 20'000), 'x');
        const double tokens = it.kind == RequestKind::Tag ? 4 : profile.medianTokens * length(random);
        it.maxTokens = std::clamp(static_cast<int>(tokens), 2, 800);
        it.conversation = it.kind == RequestKind::Question ? 1 + prefix(random) : 0;
        plan.push_back(std::move(it));
    }
}

struct Outcome {
    RequestKind kind = RequestKind::Tag;
    int status = 0;
    std::string code;
    std::string run;
    std::string version;
    bool complete = false;
    bool bad = false;
    Duration at {};
    double firstTokenMs = 0;
    double totalMs = 0;
    std::vector<double> gapsMs;
};

class LoadRun {
public:
    explicit LoadRun(const LoadSettings& settings)
        : m_settings(settings)
        , m_random(static_cast<std::uint64_t>(settings.seed))
        , m_workers(MAX_OPEN_REQUESTS)
    {
    }

    std::vector<Outcome> run()
    {
        const std::vector<PlannedRequest> plan = planArrivals(m_settings);
        refreshAddresses();
        const TimePoint start = m_clock.now();
        Duration refreshedAt { 0 };
        for (const PlannedRequest& it : plan) {
            const Duration now = m_clock.now() - start;
            if (it.at > now)
                absl::SleepFor(absl::Milliseconds((it.at - now).count()));
            if (it.at - refreshedAt > Duration(2000)) {
                refreshAddresses();
                refreshedAt = it.at;
            }
            const std::string host = pickHost();
            if (!m_workers.run([this, it, host] { record(send(it, host)); }))
                record({ .kind = it.kind, .code = "load_tool_full", .run = "not_run", .at = it.at });
        }
        while (m_workers.busyThreads() > 0)
            absl::SleepFor(absl::Milliseconds(20));
        return m_outcomes;
    }

private:
    void refreshAddresses()
    {
        for (const std::string& host : candidateHosts()) {
            const auto answer = http::perform({ .url = host + "/v1/addresses", .timeout = Duration(1000) });
            const auto document = parseJson(answer.response.body);
            if (answer.progress != http::CallProgress::Answered || !document || !document->contains("addresses"))
                continue;
            absl::MutexLock lock(&m_mutex);
            m_hosts.clear();
            for (const nlohmann::json& node : (*document)["addresses"])
                m_hosts.push_back(node["url"]);
            return;
        }
    }

    std::vector<std::string> candidateHosts()
    {
        absl::MutexLock lock(&m_mutex);
        std::vector<std::string> hosts = m_hosts;
        hosts.push_back("http://" + m_settings.ip + ":" + std::to_string(m_settings.port));
        return hosts;
    }

    std::string pickHost()
    {
        absl::MutexLock lock(&m_mutex);
        if (m_hosts.empty())
            return "http://" + m_settings.ip + ":" + std::to_string(m_settings.port);
        return m_hosts[m_random() % m_hosts.size()];
    }

    Outcome send(const PlannedRequest& it, const std::string& host)
    {
        http::Headers headers { { "Authorization",
                                    "Bearer " + m_settings.workspaceKeyPrefix + std::to_string(it.workspace) },
            { "X-Task",
                it.kind == RequestKind::Tag          ? "tag"
                    : it.kind == RequestKind::Report ? "report"
                                                     : "chat" } };
        http::Call call {
            .method = "POST", .url = host + "/v1/chat/completions", .headers = headers, .timeout = Duration(60'000)
        };
        if (it.kind == RequestKind::Once) {
            call.url = host + "/v1/services/renewal/charge";
            call.headers["Idempotency-Key"]
                = std::to_string(m_clock.wallNow().time_since_epoch().count()) + "-" + randomToken();
            call.body = "{}";
        } else {
            const nlohmann::json message { { "role", "user" }, { "content", it.prompt } };
            call.body = nlohmann::json {
                { "model", "auto" }, { "stream", it.kind == RequestKind::Question }, { "max_tokens", it.maxTokens },
                { "messages", nlohmann::json::array({ message }) }
            }.dump();
        }
        if (m_settings.direct)
            return perform(directCall(it, host), it);
        const std::string session = sessionFor(it);
        if (!session.empty())
            call.headers["X-Session"] = session;
        Outcome outcome = perform(call, it);
        // If the connection fails, retries at a randomly chosen entry host.
        for (int n = 0; n < 3 && outcome.code == "unreachable"; ++n) {
            call.url = pickHost() + call.url.substr(call.url.find('/', std::string("http://").size()));
            outcome = perform(call, it);
        }
        if (outcome.status == STATUS_TEMPORARY_REDIRECT) {
            call.url = m_redirect;
            outcome = perform(call, it);
        }
        return outcome;
    }

    // The same request for the engine's own interface, bypassing the router.
    static http::Call directCall(const PlannedRequest& it, const std::string& host)
    {
        const nlohmann::json body { { "requestId", randomToken() }, { "attempt", 1 }, { "version", "large@1" },
            { "prompt", it.prompt }, { "maxTokens", it.maxTokens } };
        return { .method = "POST", .url = host + "/v1/completions", .body = body.dump(), .timeout = Duration(60'000) };
    }

    Outcome perform(const http::Call& call, const PlannedRequest& it)
    {
        Outcome outcome { .kind = it.kind, .at = it.at };
        std::string body;
        const TimePoint sentAt = m_clock.now();
        TimePoint lastPieceAt = sentAt;
        const auto onPiece = [&](int, std::string_view piece) {
            const TimePoint now = m_clock.now();
            if (body.empty())
                outcome.firstTokenMs = static_cast<double>((now - sentAt).count());
            else
                outcome.gapsMs.push_back(static_cast<double>((now - lastPieceAt).count()));
            lastPieceAt = now;
            body += piece;
            return true;
        };
        const http::CallOutcome answer = http::performStreaming(call, onPiece, {});
        outcome.totalMs = static_cast<double>((m_clock.now() - sentAt).count());
        outcome.status = answer.progress == http::CallProgress::Answered ? answer.response.status : 0;
        outcome.bad = body.find("[bad]") != std::string::npos;
        const bool streamed = it.kind == RequestKind::Question;
        outcome.complete = outcome.status == STATUS_OK
            && (!streamed || body.find("data: [DONE]") != std::string::npos
                || body.find("\"done\":true") != std::string::npos);
        const auto& received = answer.response.headers;
        if (received.count("x-model-version"))
            outcome.version = received.at("x-model-version");
        if (received.count("x-session"))
            storeSession(it, received.at("x-session"));
        if (outcome.status == STATUS_TEMPORARY_REDIRECT) {
            absl::MutexLock lock(&m_mutex);
            m_redirect = received.count("location") ? received.at("location") : call.url;
        }
        if (answer.progress == http::CallProgress::NotSent) {
            outcome.code = "unreachable";
            outcome.run = "not_run";
        } else if (!outcome.complete) {
            readError(body, answer.error, outcome);
        }
        return outcome;
    }

    static void readError(const std::string& body, const std::string& transportError, Outcome& outcome)
    {
        const auto document = parseJson(body);
        const bool typed = document && document->is_object() && document->contains("code");
        outcome.code = typed ? (*document)["code"].get<std::string>() : transportError.empty() ? "cut" : "transport";
        outcome.run = typed ? (*document)["run"].get<std::string>() : "unknown";
    }

    std::string sessionFor(const PlannedRequest& it)
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_sessions.find({ it.workspace, it.conversation });
        return it.conversation == 0 || found == m_sessions.end() ? std::string() : found->second;
    }

    void storeSession(const PlannedRequest& it, const std::string& handle)
    {
        absl::MutexLock lock(&m_mutex);
        if (it.conversation != 0)
            m_sessions[{ it.workspace, it.conversation }] = handle;
    }

    void record(Outcome outcome)
    {
        absl::MutexLock lock(&m_mutex);
        m_outcomes.push_back(std::move(outcome));
    }

    const LoadSettings& m_settings;
    const SystemClock m_clock;
    absl::Mutex m_mutex;
    std::mt19937_64 m_random;
    std::vector<std::string> m_hosts;
    std::map<std::pair<long, long>, std::string> m_sessions;
    std::string m_redirect;
    std::vector<Outcome> m_outcomes;
    WorkerPool m_workers;
};

double quantile(std::vector<double> values, double p)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(p * static_cast<double>(values.size())))];
}

nlohmann::json quantiles(const std::vector<double>& values)
{
    return { { "p50", quantile(values, 0.5) }, { "p95", quantile(values, 0.95) }, { "p99", quantile(values, 0.99) } };
}

nlohmann::json report(const LoadSettings& settings, const std::vector<Outcome>& outcomes)
{
    std::vector<double> first;
    std::vector<double> gaps;
    std::vector<double> total;
    std::map<std::string, int> refusals;
    std::map<std::string, int> versions;
    int answered = 0;
    int bad = 0;
    int unknownOutcomes = 0;
    for (const Outcome& it : outcomes) {
        if (!it.complete) {
            ++refusals[it.code + "/" + it.run];
            unknownOutcomes += it.run == "unknown" ? 1 : 0;
            continue;
        }
        ++answered;
        bad += it.bad ? 1 : 0;
        ++versions[it.version.empty() ? "service" : it.version];
        total.push_back(it.totalMs);
        if (it.kind == RequestKind::Question)
            first.push_back(it.firstTokenMs);
        gaps.insert(gaps.end(), it.gapsMs.begin(), it.gapsMs.end());
    }
    return { { "label", settings.label }, { "profile", settings.profile }, { "seed", settings.seed },
        { "requests", outcomes.size() }, { "answered", answered }, { "bad_answers", bad },
        { "unknown", unknownOutcomes }, { "refusals", refusals }, { "versions", versions },
        { "first_token_ms", quantiles(first) }, { "between_tokens_ms", quantiles(gaps) },
        { "total_ms", quantiles(total) } };
}

void writeCsv(const std::string& file, const std::vector<Outcome>& outcomes)
{
    std::ofstream out(file);
    out << "at_ms,kind,status,code,run,version,whole,bad,first_token_ms,total_ms\n";
    for (const Outcome& it : outcomes) {
        out << it.at.count() << "," << kindName(it.kind) << "," << it.status << "," << it.code << "," << it.run << ","
            << it.version << "," << it.complete << "," << it.bad << "," << it.firstTokenMs << "," << it.totalMs << "\n";
    }
}

Result<int> run(int argc, char** argv)
{
    LoadSettings settings;
    using namespace settings;
    const std::vector<Option> options {
        { "entry", "IP:PORT", "Entry host that provides the addresses of all entry hosts.",
            setAddress(settings.ip, settings.port) },
        { "profile", "vitalkor|urnaviva", "Request mix and rate over time.", setText(settings.profile) },
        { "rate", "N", "Mean number of requests per second.", setInteger(settings.ratePerSecond, 1, 100'000) },
        { "seconds", "N", "Duration of the run in seconds.", setInteger(settings.seconds, 1, 86'400) },
        { "seed", "N", "Seed of the arrivals.", setInteger(settings.seed, 0, 1'000'000'000) },
        { "workspaces", "N", "Number of workspaces, ws1 to wsN; lower numbers send more requests.",
            setInteger(settings.workspaces, 1, 10'000) },
        { "workspace-key-prefix", "TEXT", "Prefix of the workspace keys; the number of the workspace follows it.",
            setText(settings.workspaceKeyPrefix) },
        { "direct", "", "Send the chat requests directly to the engine at --entry, as a baseline.",
            setFlag(settings.direct) },
        { "label", "TEXT", "Name of the run in the report.", setText(settings.label) },
        { "csv", "FILE", "Write one line per request to this file.", setText(settings.csvFile) },
    };
    const Usage usage { .program = "fireflyhaven-load",
        .synopsis = "--entry=IP:PORT [OPTIONS]",
        .description = "Generates an open-loop load with seeded arrivals and prints a JSON report." };
    BOOST_LEAF_AUTO(parsed, parseOptions(argc, argv, usage, options));
    if (parsed.end != ParseOutcome::Run)
        return 0;
    if (settings.profile != "vitalkor" && settings.profile != "urnaviva")
        return failure(ErrorCode::InvalidArgument, "--profile: expected vitalkor or urnaviva");
    LoadRun load(settings);
    const std::vector<Outcome> outcomes = load.run();
    if (!settings.csvFile.empty())
        writeCsv(settings.csvFile, outcomes);
    std::cout << report(settings, outcomes).dump(2) << "\n";
    return 0;
}

}

int main(int argc, char** argv)
{
    return handleFailure([&] { return run(argc, argv); },
        [](const Failure& it) {
            std::cerr << "fireflyhaven-load: " << it.message << "\n";
            return it.code == ErrorCode::InvalidArgument ? 2 : 1;
        });
}
