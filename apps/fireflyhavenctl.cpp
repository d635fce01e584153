#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/common/json.h"
#include "fireflyhaven/config/configfold.h"
#include "fireflyhaven/explain/logquery.h"
#include "fireflyhaven/http/client.h"
#include "fireflyhaven/settings/optionparser.h"
#include "fireflyhaven/http/types/status.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

using namespace fireflyhaven;

namespace {
constexpr int EXIT_REFUSED = 1;

struct Settings {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 8080;
    std::string operatorKey;
    std::string workspaceKey;
    std::string task = "chat";
    std::string model = "auto";
    std::string session;
    std::string idempotencyKey;
    std::string requestId;
    long maxTokens = 32;
    bool wait = false;
    bool stream = false;
};

using Arguments = std::vector<std::string>;

struct Command {
    const char* name;
    const char* arguments;
    const char* help;
    std::size_t minArguments;
    std::size_t maxArguments;
    Result<int> (*run)(const Settings&, const Arguments&);
};

std::string urlOf(const Settings& it, const std::string& path)
{
    return "http://" + it.ip + ":" + std::to_string(it.port) + path;
}

Result<std::string> readFile(const std::string& name)
{
    std::ifstream in(name);
    if (!in)
        return failure(ErrorCode::InvalidArgument, name + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

Result<http::CallOutcome> callHost(const http::Call& call)
{
    http::CallOutcome outcome = http::perform(call);
    if (outcome.progress != http::CallProgress::Answered)
        return failure(ErrorCode::Unavailable, call.url + ": " + outcome.error);
    return outcome;
}

http::Call operatorCall(const Settings& it, const std::string& method, const std::string& path, std::string body = {})
{
    constexpr Duration TIMEOUT { 40'000 };
    return { .method = method,
        .url = urlOf(it, path + (it.wait && method != "GET" ? "?wait=in_force" : "")),
        .headers = { { "Authorization", "Bearer " + it.operatorKey }, { "Content-Type", "application/json" } },
        .body = std::move(body),
        .timeout = TIMEOUT };
}

// Prints the response body; returns the exit code, EXIT_REFUSED for an error status.
int printAnswer(const http::CallOutcome& outcome)
{
    const auto document = parseJson(outcome.response.body);
    std::cout << (document ? document->dump(2) : outcome.response.body) << "\n";
    return outcome.response.status <= STATUS_MAX_SUCCESS ? 0 : EXIT_REFUSED;
}

Result<int> callAndPrint(const http::Call& call)
{
    BOOST_LEAF_AUTO(outcome, callHost(call));
    return printAnswer(outcome);
}

Result<int> apply(const Settings& it, const Arguments& arguments)
{
    BOOST_LEAF_AUTO(text, readFile(arguments[0]));
    return callAndPrint(operatorCall(it, "PUT", "/admin/v1/config", text));
}

Result<int> get(const Settings& it, const Arguments& arguments)
{
    return callAndPrint(
        operatorCall(it, "GET", "/admin/v1/config" + (arguments.empty() ? std::string() : "/" + arguments[0])));
}

Result<int> diff(const Settings& it, const Arguments& arguments)
{
    BOOST_LEAF_AUTO(text, readFile(arguments[0]));
    const auto desired = parseJson(text);
    std::vector<config::ValidationError> errors;
    config::parseLists(desired.value_or(nlohmann::json()), errors);
    for (const config::ValidationError& error : errors)
        std::cerr << error.path << ": expected " << error.expected << "\n";
    if (!errors.empty())
        return EXIT_REFUSED;
    BOOST_LEAF_AUTO(outcome, callHost(operatorCall(it, "GET", "/admin/v1/config")));
    const auto current = parseJson(outcome.response.body);
    if (outcome.response.status > STATUS_MAX_SUCCESS || !current)
        return printAnswer(outcome);
    const config::Lists lists = config::parseLists(*current, errors);
    const config::ChangeSet changes = config::diffLists(lists, *desired);
    for (const config::Change& change : changes) {
        const nlohmann::json& items = (*current)[config::collectionName(change.collection)];
        const bool exists = items.contains(change.key);
        std::cout << config::collectionName(change.collection) << " " << change.key << "\n";
        if (exists)
            std::cout << "  - " << items[change.key].dump() << "\n";
        if (!change.body.is_null())
            std::cout << "  + " << change.body.dump() << "\n";
    }
    return 0;
}

Result<int> postAction(
    const Settings& it, const std::string& action, const std::string& collection, const std::string& key)
{
    const nlohmann::json body { { "action", action }, { "collection", collection }, { "key", key } };
    return callAndPrint(operatorCall(it, "POST", "/admin/v1/actions", body.dump()));
}

std::string inServiceCollection(const std::string& kind)
{
    return kind == "data-centre" ? "data_centres" : "upstreams";
}

Result<int> postInServiceAction(const Settings& it, const std::string& action, const Arguments& arguments)
{
    if (arguments[0] != "data-centre" && arguments[0] != "upstream")
        return failure(ErrorCode::InvalidArgument, arguments[0] + ": expected data-centre or upstream");
    return postAction(it, action, inServiceCollection(arguments[0]), arguments[1]);
}

Result<int> drain(const Settings& it, const Arguments& arguments)
{
    return postInServiceAction(it, "drain", arguments);
}
Result<int> restore(const Settings& it, const Arguments& arguments)
{
    return postInServiceAction(it, "restore", arguments);
}
Result<int> withdraw(const Settings& it, const Arguments& arguments)
{
    return postAction(it, "withdraw", "versions", arguments[0]);
}
Result<int> retire(const Settings& it, const Arguments& arguments)
{
    return postAction(it, "retire", "versions", arguments[0]);
}
Result<int> activate(const Settings& it, const Arguments& arguments)
{
    return postAction(it, "activate", "versions", arguments[0]);
}
Result<int> reinstate(const Settings& it, const Arguments& arguments)
{
    return postAction(it, "reinstate", "versions", arguments[0]);
}
Result<int> dump(const Settings& it, const Arguments&)
{
    return callAndPrint(operatorCall(it, "GET", "/admin/v1/state"));
}
Result<int> billing(const Settings& it, const Arguments&)
{
    return callAndPrint(operatorCall(it, "GET", "/admin/v1/bills"));
}
Result<int> addresses(const Settings& it, const Arguments&)
{
    return callAndPrint({ .url = urlOf(it, "/v1/addresses") });
}

Result<int> status(const Settings& it, const Arguments&)
{
    BOOST_LEAF_AUTO(outcome, callHost(operatorCall(it, "GET", "/admin/v1/state")));
    const auto state = parseJson(outcome.response.body);
    if (outcome.response.status > STATUS_MAX_SUCCESS || !state)
        return printAnswer(outcome);
    std::cout << "host " << (*state)["host"]["id"].get<std::string>() << ", log "
              << ((*state)["log"]["reachable"].get<bool>() ? "reachable" : "unreachable") << " at "
              << (*state)["log"]["offset"] << ", may act: " << (*state)["membership"]["may_act"] << "\n";
    for (const auto& [id, member] : (*state)["membership"]["members"].items()) {
        std::cout << "  member " << id << " in " << member["data_centre"].get<std::string>()
                  << (member["voter"].get<bool>() ? "" : ", learner")
                  << (member["heard"].get<bool>() ? "" : ", not heard") << "\n";
    }
    for (const auto& [id, owner] : (*state)["ownership"].items())
        std::cout << "  upstream " << id << " owned by " << owner["owner"].get<std::string>() << "\n";
    return 0;
}

constexpr std::size_t MAX_ARGUMENTS = 1000;

// Reads the log lines of all files from `arguments[first]` on, or of standard input if there are no such arguments.
Result<std::vector<explain::LogLine>> readLogs(const Arguments& arguments, std::size_t first)
{
    if (arguments.size() <= first)
        return explain::readLogLines(std::cin);
    std::vector<explain::LogLine> all;
    for (std::size_t n = first; n < arguments.size(); ++n) {
        std::ifstream in(arguments[n]);
        if (!in)
            return failure(ErrorCode::InvalidArgument, arguments[n] + ": cannot be read");
        std::vector<explain::LogLine> lines = explain::readLogLines(in);
        std::move(lines.begin(), lines.end(), std::back_inserter(all));
    }
    return all;
}

Result<int> explainRequest(const Settings&, const Arguments& arguments)
{
    BOOST_LEAF_AUTO(lines, readLogs(arguments, 1));
    const auto trace = explain::requestTrace(lines, arguments[0]);
    if (!trace)
        return failure(ErrorCode::NotFound, arguments[0] + ": not found in the log lines");
    std::cout << *trace;
    return 0;
}

Result<int> showHostState(const Settings&, const Arguments& arguments)
{
    BOOST_LEAF_AUTO(lines, readLogs(arguments, 2));
    const auto hostState = explain::hostStateAt(lines, arguments[0], arguments[1]);
    if (!hostState)
        return failure(ErrorCode::NotFound, arguments[0] + ": no state logged at or before " + arguments[1]);
    std::cout << *hostState;
    return 0;
}

Result<int> digest(const Settings&, const Arguments& arguments)
{
    std::cout << digestHex(arguments[0]) << "\n";
    return 0;
}

http::Headers workspaceHeaders(const Settings& it)
{
    http::Headers headers { { "Authorization", "Bearer " + it.workspaceKey }, { "Content-Type", "application/json" },
        { "X-Task", it.task } };
    if (!it.session.empty())
        headers["X-Session"] = it.session;
    if (!it.requestId.empty())
        headers["X-Request-Id"] = it.requestId;
    return headers;
}

Result<int> send(const Settings& it, const Arguments& arguments)
{
    constexpr Duration TIMEOUT { 120'000 };
    const nlohmann::json message { { "role", "user" }, { "content", arguments[0] } };
    const nlohmann::json body { { "model", it.model }, { "stream", it.stream }, { "max_tokens", it.maxTokens },
        { "messages", nlohmann::json::array({ message }) } };
    const http::Call call { .method = "POST",
        .url = urlOf(it, "/v1/chat/completions"),
        .headers = workspaceHeaders(it),
        .body = body.dump(),
        .timeout = TIMEOUT };
    std::string received;
    const auto print = [&](int, std::string_view piece) {
        std::cout << piece << std::flush;
        received.append(piece);
        return true;
    };
    const http::CallOutcome outcome = http::performStreaming(call, print, {});
    if (outcome.progress != http::CallProgress::Answered)
        return failure(ErrorCode::Unavailable, outcome.error);
    std::cout << "\n";
    for (const char* name : { "x-model-version", "x-session", "x-request-id", "location" }) {
        if (outcome.response.headers.count(name))
            std::cout << name << ": " << outcome.response.headers.at(name) << "\n";
    }
    const bool complete = !it.stream || received.find("data: [DONE]") != std::string::npos;
    return outcome.response.status <= STATUS_MAX_SUCCESS && complete ? 0 : EXIT_REFUSED;
}

Result<int> callService(const Settings& it, const Arguments& arguments)
{
    http::Call call { .method = "POST",
        .url = urlOf(it, "/v1/services/" + arguments[0]),
        .headers = workspaceHeaders(it),
        .body = arguments.size() > 1 ? arguments[1] : "{}" };
    if (!it.idempotencyKey.empty())
        call.headers["Idempotency-Key"] = it.idempotencyKey;
    BOOST_LEAF_AUTO(outcome, callHost(call));
    if (outcome.response.headers.count("x-idempotent-replay"))
        std::cout << "replayed: ";
    return printAnswer(outcome);
}

constexpr Command COMMANDS[] = {
    { "apply", "FILE", "Replace the lists that the document contains; other lists stay unchanged.", 1, 1, apply },
    { "get", "[LIST]", "Print the lists, or one of them.", 0, 1, get },
    { "diff", "FILE", "Print what `apply` would change.", 1, 1, diff },
    { "status", "", "Print members and upstream owners as known to one host.", 0, 0, status },
    { "drain", "data-centre|upstream NAME", "Take a data centre or upstream out of service.", 2, 2, drain },
    { "restore", "data-centre|upstream NAME", "Return a data centre or upstream to service.", 2, 2, restore },
    { "withdraw", "MODEL@VERSION", "Stop all new requests to a version.", 1, 1, withdraw },
    { "retire", "MODEL@VERSION", "Assign no new sessions to a version.", 1, 1, retire },
    { "activate", "MODEL@VERSION", "Return a version to the active state.", 1, 1, activate },
    { "reinstate", "MODEL@VERSION", "Lift the suspension of a version.", 1, 1, reinstate },
    { "dump", "", "Print the state of one host.", 0, 0, dump },
    { "billing", "", "Count the bills in the log; only the first bill of each request id counts.", 0, 0, billing },
    { "addresses", "", "Print the addresses of the entry hosts.", 0, 0, addresses },
    { "send", "TEXT", "Send a chat request.", 1, 1, send },
    { "call", "SERVICE/PATH [BODY]", "Call a service that is not a model engine.", 1, 2, callService },
    { "explain", "REQUEST [FILE...]", "Print the steps of one request from log lines (standard input by default).", 1,
        MAX_ARGUMENTS, explainRequest },
    { "beliefs", "HOST TIME [FILE...]", "Print the state that a host knew at a time (UTC, as in the log).", 2,
        MAX_ARGUMENTS, showHostState },
    { "digest", "KEY", "Print the digest of a workspace's key, for key_digest.", 1, 1, digest },
};

std::string describeCommands()
{
    std::string text = "Tool for operators and callers of fireflyhaven.\n\nCommands:";
    for (const Command& it : COMMANDS)
        text += "\n  " + std::string(it.name) + " " + it.arguments + "\n      " + it.help;
    return text;
}

Result<int> run(int argc, char** argv)
{
    Settings it;
    using namespace settings;
    const std::vector<Option> options {
        { "entry", "IP:PORT", "Entry host to connect to.", setAddress(it.ip, it.port) },
        { "wait", "", "Wait until every live host has applied the change.", setFlag(it.wait) },
        { "task", "NAME", "send: the task.", setText(it.task) },
        { "model", "NAME", "send: a model, model@version or auto.", setText(it.model) },
        { "session", "HANDLE", "send: continue this session.", setText(it.session) },
        { "request-id", "ID", "send, call: the request id.", setText(it.requestId) },
        { "max-tokens", "N", "send: maximum length of the answer in tokens.", setInteger(it.maxTokens, 1, 32'768) },
        { "stream", "", "send: stream the answer.", setFlag(it.stream) },
        { "idempotency-key", "KEY",
            "call: idempotency key of a call that must run at most once, UNIX_MILLISECONDS-TEXT.",
            setText(it.idempotencyKey) },
        { .name = "operator-key",
            .value = "TEXT",
            .help = "The operator's key.",
            .set = setText(it.operatorKey),
            .environmentOnly = true },
        { .name = "workspace-key",
            .value = "TEXT",
            .help = "The workspace's key, for send and call.",
            .set = setText(it.workspaceKey),
            .environmentOnly = true },
    };
    const Usage usage {
        .program = "fireflyhavenctl", .synopsis = "[OPTIONS] COMMAND [ARGUMENTS]", .description = describeCommands()
    };
    BOOST_LEAF_AUTO(parsed, parseOptions(argc, argv, usage, options));
    if (parsed.end != ParseOutcome::Run)
        return 0;
    if (parsed.arguments.empty())
        return failure(ErrorCode::InvalidArgument, "expected a command; see --help");
    const Arguments arguments(parsed.arguments.begin() + 1, parsed.arguments.end());
    for (const Command& command : COMMANDS) {
        if (parsed.arguments.front() != command.name)
            continue;
        if (arguments.size() < command.minArguments || arguments.size() > command.maxArguments)
            return failure(ErrorCode::InvalidArgument, std::string(command.name) + ": expected " + command.arguments);
        return command.run(it, arguments);
    }
    return failure(ErrorCode::InvalidArgument, parsed.arguments.front() + ": no such command; see --help");
}

}

int main(int argc, char** argv)
{
    return handleFailure([&] { return run(argc, argv); },
        [](const Failure& it) {
            std::cerr << "fireflyhavenctl: " << it.message << (it.message.ends_with('\n') ? "" : "\n");
            return it.code == ErrorCode::InvalidArgument ? 2 : 1;
        });
}
